//! A platform under test with one client, fake or over TCP.

use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox};
use bluebell_platform::{
    CallTimeouts, HttpLog, HttpVmList, HttpWeights, LogPort, PlatformClient, ReadBatch, VmEntry,
    VmListPort, WeightInfo, WeightPort,
};
use bluebell_stand_ins::platform::{
    FakePlatform, FakeSettings, Fault, FaultRule, PlatformModel, PlatformServer, PlatformSettings,
};
use bluebell_timers::Timers;
use stakker::{Core, Ret, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

/// One row of the table.
pub struct Case {
    pub name: &'static str,
    pub settings: PlatformSettings,
    /// Timeout of a call; long where the case is not about timeouts.
    pub timeout_ms: u64,
    pub run: fn(&mut Rig),
}

/// The longest a call over TCP is waited for in real time.
const PATIENCE: Duration = Duration::from_secs(60);

pub struct Rig {
    stakker: Stakker,
    now: Instant,
    pub log: Rc<dyn LogPort>,
    pub weights: Rc<dyn WeightPort>,
    pub vms: Rc<dyn VmListPort>,
    back: Back,
}

enum Back {
    Fake(Rc<RefCell<PlatformModel>>),
    Http(Inbox, PlatformServer),
}

impl Rig {
    pub fn fake(case: &Case) -> Self {
        let now = Instant::now();
        let stakker = Stakker::new(now);
        let timers = Timers::open(now);
        let model = PlatformModel::new(case.settings.clone(), WallMs(0));
        let model = Rc::new(RefCell::new(model));
        let settings = FakeSettings {
            timeout_ms: SpanMs(case.timeout_ms),
            ..FakeSettings::default()
        };
        let fake = FakePlatform::open(&model, &timers, "client-1", settings);
        Self {
            stakker,
            now,
            log: fake.clone(),
            weights: fake.clone(),
            vms: fake,
            back: Back::Fake(model),
        }
    }

    pub fn http(case: &Case) -> Self {
        let server = PlatformServer::bind("127.0.0.1:0", case.settings.clone()).unwrap();
        let timeouts = CallTimeouts {
            connect_ms: SpanMs(case.timeout_ms / 2),
            call_ms: SpanMs(case.timeout_ms),
        };
        let inbox = Inbox::open();
        let bridge = Bridge::open(&inbox, 4);
        let client = PlatformClient::open(bridge, &server.address(), None, timeouts);
        let now = Instant::now();
        Self {
            stakker: Stakker::new(now),
            now,
            log: HttpLog::open(&client),
            weights: HttpWeights::open(&client),
            vms: HttpVmList::open(&client),
            back: Back::Http(inbox, server),
        }
    }

    pub fn with_model<T>(&self, change: impl FnOnce(&mut PlatformModel, WallMs) -> T) -> T {
        match &self.back {
            Back::Fake(model) => {
                let passed = self.stakker.now() - self.stakker.start_instant();
                change(&mut model.borrow_mut(), WallMs(passed.as_millis() as u64))
            }
            Back::Http(_, server) => server.with_model(change),
        }
    }

    /// Strikes the next call.
    pub fn strike(&self, fault: Fault) {
        let rule = FaultRule {
            operation: None,
            client: None,
            calls: 1,
            fault,
        };
        self.with_model(|model, _| model.faults.rules.push(rule));
    }

    pub fn append(&mut self, stream: &str, records: &[&str]) -> Result<Offset, Error> {
        let records = records.iter().map(|&text| text.into()).collect();
        let log = Rc::clone(&self.log);
        self.wait(|core, ret| log.append(core, &stream.into(), records, ret))
    }

    pub fn read(&mut self, stream: &str, from: u64, limit: u64) -> Result<ReadBatch, Error> {
        let log = Rc::clone(&self.log);
        self.wait(|core, ret| log.read(core, &stream.into(), Offset(from), Bytes(limit), ret))
    }

    /// The bodies of all retained records.
    pub fn bodies(&mut self, stream: &str) -> Vec<String> {
        let batch = self.read(stream, 0, u64::MAX).unwrap();
        batch.records.iter().map(|r| r.body.to_string()).collect()
    }

    pub fn info(&mut self, model: &str, version: u64) -> Result<WeightInfo, Error> {
        let weights = Rc::clone(&self.weights);
        self.wait(|core, ret| weights.info(core, &model.into(), version, ret))
    }

    pub fn list(&mut self) -> Result<Vec<VmEntry>, Error> {
        let vms = Rc::clone(&self.vms);
        self.wait(|core, ret| vms.list(core, ret))
    }

    /// Makes a call and runs the actors until it is answered.
    fn wait<T: 'static>(
        &mut self,
        call: impl FnOnce(&mut Core, Ret<Result<T, Error>>),
    ) -> Result<T, Error> {
        let slot = Rc::new(RefCell::new(None));
        let filled = Rc::clone(&slot);
        call(
            &mut self.stakker,
            Ret::new(move |answer| *filled.borrow_mut() = answer),
        );
        let begun = Instant::now();
        loop {
            if let Some(answer) = slot.take() {
                return answer;
            }
            assert!(begun.elapsed() < PATIENCE, "the call was not answered");
            self.step();
        }
    }

    /// Lets some time pass: to the next timer under virtual time.
    pub fn step(&mut self) {
        match &self.back {
            Back::Fake(_) => {
                let wait = self.stakker.next_wait(self.now);
                self.now += wait.unwrap_or(Duration::from_millis(100));
                self.stakker.run(self.now, false);
            }
            Back::Http(inbox, _) => {
                if inbox.drain(&mut self.stakker) == 0 {
                    thread::sleep(Duration::from_millis(1));
                }
                self.stakker.run(Instant::now(), false);
            }
        }
    }
}
