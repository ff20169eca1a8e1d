//! Injection of faults of the platform and of processes.

use super::*;

impl Fleet {
    pub fn change_vms(&mut self, change: VmChange) {
        let now_ms = WallMs(self.now_ms.0);
        let mut model = self.model.borrow_mut();
        model.change_vms(now_ms, change).expect("a listed VM");
    }

    /// Puts these versions of model `m` into the weight store, which has a total rate of 4 GB/s.
    pub fn put_weights(&mut self, versions: &[u64]) {
        for version in versions {
            self.model.borrow_mut().put_weights(WeightInfo {
                model: "m".into(),
                version: *version,
                size_bytes: Bytes(8_000_000_000),
                limit_bytes: PerSecond(4_000_000_000.0),
            });
        }
    }

    /// Sets whether the log, the list and the weight store refuse all calls.
    pub fn set_platform_down(&mut self, down: bool) {
        self.model.borrow_mut().faults.down = down;
    }

    /// Sets whether the log refuses all calls. The list and the weight store continue to answer.
    pub fn set_log_down(&mut self, down: bool) {
        let rules = &mut self.model.borrow_mut().faults.rules;
        rules.retain(|rule| rule.client.is_some());
        let outage = |operation| FaultRule {
            operation: Some(operation),
            client: None,
            calls: u32::MAX,
            fault: Fault::Down,
        };
        if down {
            rules.extend([Operation::Append, Operation::Read].map(outage));
        }
    }

    /// Injects a fault into the next `calls` calls of one node to the platform.
    pub fn add_fault(&mut self, index: usize, operation: Operation, calls: u32, fault: Fault) {
        let rule = FaultRule {
            operation: Some(operation),
            client: Some(self.nodes[index].name.0.clone()),
            calls,
            fault,
        };
        self.model.borrow_mut().faults.rules.push(rule);
    }

    /// Runs the fleet until a node has renewed its leases, so that its next renewal is some seconds
    /// away.
    pub fn run_past_renewal(&mut self, index: usize) {
        let end = self.leases_end();
        let holder = format!("\"holder\":{}", self.nodes[index].incarnation.0);
        let end_ms = self.now_ms + SpanMs::from_secs(10);
        let done = self.run_until(end_ms, |fleet| {
            let records = fleet.leases_from(end);
            records
                .iter()
                .any(|text| text.contains("renew") && text.contains(&holder))
        });
        if done {
            self.run_ms(100);
        }
    }

    /// Appends a text to the config stream without a node.
    pub fn append_config(&mut self, text: &str) {
        let now_ms = WallMs(self.now_ms.0);
        let stream = self.settings.config_stream.clone();
        let mut model = self.model.borrow_mut();
        model
            .append(now_ms, &stream, &[text.into()], false)
            .expect("the log accepts the record");
    }

    /// Ends a node's process without warning.
    pub fn kill(&mut self, index: usize) {
        self.set_state(index, ProcessState::Dead);
    }

    pub fn pause(&mut self, index: usize) {
        self.set_state(index, ProcessState::Paused);
    }

    pub fn resume(&mut self, index: usize) {
        self.set_state(index, ProcessState::Running);
    }

    pub(super) fn set_state(&mut self, index: usize, state: ProcessState) {
        let node = &mut self.nodes[index];
        node.state = state;
        let mut net = self.net.borrow_mut();
        net.set_dead(&node.address, state == ProcessState::Dead);
    }
}
