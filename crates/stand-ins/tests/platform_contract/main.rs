//! The contract of the platform's ports: one table of cases, run against the fake under virtual
//! time and against the HTTP clients with the platform's server.

mod cases;
mod http_only;
mod rig;

use cases::CASES;
use rig::Rig;

#[test]
fn fake_keeps_the_contract() {
    for case in CASES.iter() {
        println!("case: {}", case.name);
        (case.run)(&mut Rig::fake(case));
    }
}

#[test]
fn http_clients_keep_the_contract() {
    for case in CASES.iter() {
        println!("case: {}", case.name);
        (case.run)(&mut Rig::http(case));
    }
}
