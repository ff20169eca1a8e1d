//! What the nodes and the log say.

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

    /// Publishes through a node; the answer comes into the cell.
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

    /// The version and text in force on a node.
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

    /// The versions that came into force on a node, in order.
    pub fn versions(&self, index: usize) -> Vec<ConfigVersion> {
        let events = self.nodes[index].events.borrow();
        let version = |(_, event): &(MonoMs, ControlEvent)| match event {
            ControlEvent::Config { version, .. } => Some(*version),
            _ => None,
        };
        events.iter().filter_map(version).collect()
    }

    /// The duties that a node believes to hold at this instant.
    pub fn believed(&self, index: usize) -> Vec<Duty> {
        let node = &self.nodes[index];
        let now = self.local(node.rate).duration_since(self.origin);
        let now_ms = MonoMs(now.as_millis() as u64);
        let held = node.held.borrow();
        let valid = held.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        valid.map(|(duty, _)| *duty).collect()
    }

    /// Whether a node believes at this instant that it holds the duty.
    pub fn believes(&self, index: usize, duty: Duty) -> bool {
        self.believed(index).contains(&duty)
    }

    /// The running nodes that believe to hold the duty.
    pub fn running_holders(&self, duty: Duty) -> Vec<usize> {
        let running = |index: &usize| self.nodes[*index].life == Life::Running;
        let all = (0..self.nodes.len()).filter(running);
        all.filter(|index| self.believes(*index, duty)).collect()
    }

    pub(super) fn read_all(&self, stream: &StreamName, from: Offset) -> ReadBatch {
        let now_ms = WallMs(self.now_ms.0);
        let mut model = self.model.borrow_mut();
        model.read(now_ms, stream, from, Bytes(1 << 40))
    }

    /// The end of the config stream.
    pub fn config_end(&self) -> Offset {
        self.read_all(&self.settings.config_stream, Offset(0)).end
    }

    /// The end of the leases stream.
    pub fn leases_end(&self) -> Offset {
        self.read_all(&self.settings.leases_stream, Offset(0)).end
    }

    /// The texts of the leases stream from an offset on.
    pub fn leases_from(&self, from: Offset) -> Vec<Arc<str>> {
        let batch = self.read_all(&self.settings.leases_stream, from);
        batch
            .records
            .into_iter()
            .map(|record| record.body)
            .collect()
    }
}
