//! The service port's contract, run against the in-process service under virtual time and against
//! the service's process over HTTP.

mod common;

use bluebell_base::prelude::*;
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_stand_ins::service::{FakeService, ServiceServer, ServiceSettings, ServiceStats};
use bluebell_upstreams::{HttpService, ServiceAnswer, ServiceCall, ServicePort};
use common::{KINDS, World, closed_address, request};
use std::rc::Rc;

struct Rig {
    world: World,
    port: Rc<dyn ServicePort>,
    service: Service,
}

enum Service {
    Fake(FakeService),
    Http(ServiceServer),
}

impl Rig {
    fn open(real: bool, faults: FaultSwitches) -> Self {
        let mut world = World::open(real);
        let settings = ServiceSettings {
            name: "board".into(),
            ..ServiceSettings::default()
        };
        if real {
            let server = ServiceServer::bind("127.0.0.1:0", settings, faults);
            let server = server.expect("a free port");
            let address = Address::from(server.address().to_string().as_str());
            return Self {
                port: HttpService::open(world.bridge(4), address),
                service: Service::Http(server),
                world,
            };
        }
        let fake = FakeService::open(settings);
        fake.set_faults(&mut world.stakker, faults);
        Self {
            port: fake.port(),
            service: Service::Fake(fake),
            world,
        }
    }

    fn stats(&self) -> ServiceStats {
        match &self.service {
            Service::Fake(fake) => fake.stats(),
            Service::Http(server) => server.stats(),
        }
    }

    fn kill(&mut self) {
        match &self.service {
            Service::Fake(fake) => fake.set_dead(true),
            Service::Http(_) => {
                self.port = HttpService::open(self.world.bridge(1), closed_address());
            }
        }
    }

    fn call(&mut self, call: ServiceCall) -> Result<ServiceAnswer, Error> {
        let port = self.port.clone();
        self.world.ask(|core, ret| port.call(core, call, ret))
    }
}

fn post(key: Option<&str>) -> ServiceCall {
    ServiceCall {
        request: request(1),
        method: "POST".into(),
        path: "/notices".into(),
        content_type: Some("text/plain".into()),
        body: b"a notice".to_vec(),
        idempotency_key: key.map(IdempotencyKey::from),
        timeout_ms: SpanMs(1500),
    }
}

/// One set of switches, what the caller is told, and the effects that are left behind.
struct Case {
    name: &'static str,
    faults: FaultSwitches,
    told: Option<Verdict>,
    effects: u64,
}

/// A caller publishes a notice and the service fails in one way or another. "Not run" may only be
/// told where no notice stands: whoever trusts it publishes again, and the notice would stand twice.
#[test]
fn what_the_caller_is_told_fits_the_effects() {
    let off = FaultSwitches::default;
    let cases = [
        Case {
            name: "none",
            faults: off(),
            told: None,
            effects: 1,
        },
        Case {
            name: "leaving",
            faults: FaultSwitches {
                leaving: true,
                ..off()
            },
            told: Some(Verdict::NotRun),
            effects: 0,
        },
        Case {
            name: "down",
            faults: FaultSwitches {
                down: true,
                ..off()
            },
            told: Some(Verdict::MayHaveRun),
            effects: 0,
        },
        Case {
            name: "lose answer",
            faults: FaultSwitches {
                lose_answer: true,
                ..off()
            },
            told: Some(Verdict::MayHaveRun),
            effects: 1,
        },
        Case {
            name: "freeze",
            faults: FaultSwitches {
                freeze: true,
                ..off()
            },
            told: Some(Verdict::MayHaveRun),
            effects: 0,
        },
    ];
    for (kind, real) in KINDS {
        for case in &cases {
            println!("{} {kind}", case.name);
            let mut rig = Rig::open(real, case.faults.clone());
            let told = rig.call(post(None)).err().map(|error| error.verdict);
            assert_eq!(told, case.told, "{} {kind}", case.name);
            assert_eq!(rig.stats().effects, case.effects, "{} {kind}", case.name);
        }
    }
}

/// A replica's VM is gone while the list still names it. Its calls must be certain not to have run,
/// so that they are tried at another replica instead of being given up as unsure.
#[test]
fn a_service_that_is_gone_is_a_certain_not_run() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, FaultSwitches::default());
        rig.kill();
        let error = rig.call(post(None)).expect_err("no connection");
        assert_eq!(error.verdict, Verdict::NotRun);
    }
}

/// Two calls with one key, as a blind retry would make them: the count must show the double.
#[test]
fn a_second_effect_under_one_key_is_counted() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, FaultSwitches::default());
        rig.call(post(Some("widow-7"))).expect("an answer");
        assert_eq!(rig.stats().repeated, []);
        rig.call(post(Some("widow-7"))).expect("an answer");
        assert_eq!(rig.stats().repeated.len(), 1);
        assert_eq!(&*rig.stats().repeated[0].key, "widow-7");
    }
}

#[test]
fn a_read_leaves_no_effect_and_health_tells_of_leaving() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, FaultSwitches::default());
        let mut read = post(None);
        read.method = "GET".into();
        read.body = Vec::new();
        let answer = rig.call(read).expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.content_type.as_deref(), Some("application/json"));
        assert_eq!(rig.stats().effects, 0);
        let port = rig.port.clone();
        let health = rig.world.ask(|core, ret| port.health(core, ret));
        assert_eq!(health, Ok(()));
        let mut rig = Rig::open(
            real,
            FaultSwitches {
                leaving: true,
                ..FaultSwitches::default()
            },
        );
        let port = rig.port.clone();
        let health = rig.world.ask(|core, ret| port.health(core, ret));
        assert_eq!(health.expect_err("leaving").verdict, Verdict::NotRun);
    }
}
