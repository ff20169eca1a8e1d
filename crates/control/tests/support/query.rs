//! Queries of the state of the nodes and of the log.

use super::*;

impl Fleet {
    pub fn coordinator_dump(&mut self, index: usize) -> CoordinatorDump {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].control], coordinator_dump(ret));
        let now = self.local(self.nodes[index].rate);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    /// Publishes through a node. The returned cell receives the answer.
    pub fn publish(
        &mut self,
        index: usize,
        base: u64,
        body: &Arc<str>,
    ) -> Rc<RefCell<Option<Result<Published, Error>>>> {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        let node = &self.nodes[index];
        call!(
            [node.control],
            publish(ConfigVersion(base), body.clone(), ret)
        );
        cell
    }

    /// Publishes and waits for the answer.
    pub fn publish_now(
        &mut self,
        index: usize,
        base: u64,
        body: &Arc<str>,
    ) -> Result<Published, Error> {
        let cell = self.publish(index, base, body);
        let end_ms = self.now_ms + SpanMs::from_secs(30);
        self.run_until(end_ms, |_| cell.borrow().is_some());
        let answer = cell.borrow_mut().take();
        answer.expect("each publication is answered")
    }

    pub fn dump(&mut self, index: usize) -> ControlDump {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].control], dump(ret));
        let now = self.local(self.nodes[index].rate);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    /// Returns the version and the text in force on a node.
    pub fn in_force(&mut self, index: usize) -> (ConfigVersion, Arc<str>) {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].control], in_force(ret));
        let now = self.local(self.nodes[index].rate);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    pub fn members_dump(&mut self, index: usize) -> MembersDump {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].members], dump(ret));
        let now = self.local(self.nodes[index].rate);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    /// Returns the versions that came into force on a node, in order.
    pub fn versions(&self, index: usize) -> Vec<ConfigVersion> {
        let events = self.nodes[index].events.borrow();
        let version = |(_, event): &(MonoMs, ControlEvent)| match event {
            ControlEvent::Config { version, .. } => Some(*version),
            _ => None,
        };
        events.iter().filter_map(version).collect()
    }

    /// Returns the duties that a node holds now according to its own clock and events.
    pub fn held_duties(&self, index: usize) -> Vec<Duty> {
        let node = &self.nodes[index];
        let now = self.local(node.rate).duration_since(self.origin);
        let now_ms = MonoMs(now.as_millis() as u64);
        let held = node.held.borrow();
        let valid = held.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        valid.map(|(duty, _)| *duty).collect()
    }

    /// Returns true if a node holds the duty now according to its own clock and events.
    pub fn holds_duty(&self, index: usize, duty: Duty) -> bool {
        self.held_duties(index).contains(&duty)
    }

    /// Returns the running nodes that hold the duty according to their own clocks and events.
    pub fn running_holders(&self, duty: Duty) -> Vec<usize> {
        let running = |index: &usize| self.nodes[*index].state == ProcessState::Running;
        let all = (0..self.nodes.len()).filter(running);
        all.filter(|index| self.holds_duty(*index, duty)).collect()
    }

    pub(super) fn read_all(&self, stream: &StreamName, from: Offset) -> ReadBatch {
        let now_ms = WallMs(self.now_ms.0);
        let mut model = self.model.borrow_mut();
        model.read(now_ms, stream, from, Bytes(1 << 40))
    }

    /// Returns the end of the config stream.
    pub fn config_end(&self) -> Offset {
        self.read_all(&self.settings.config_stream, Offset(0)).end
    }

    /// Returns the end of the leases stream.
    pub fn leases_end(&self) -> Offset {
        self.read_all(&self.settings.leases_stream, Offset(0)).end
    }

    /// Returns the texts of the leases stream from an offset on.
    pub fn leases_from(&self, from: Offset) -> Vec<Arc<str>> {
        let batch = self.read_all(&self.settings.leases_stream, from);
        batch
            .records
            .into_iter()
            .map(|record| record.body)
            .collect()
    }
}
