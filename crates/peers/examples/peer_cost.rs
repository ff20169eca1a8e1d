//! Measures the cost of calls between nodes over real sockets: bytes on the wire with all headers,
//! and processor time of caller and server together.
//!
//! `cargo run --release -p bluebell-peers --features fakes --example peer_cost`

use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox};
use bluebell_peers::{
    ClaimAnswer, ClaimCall, ClaimKey, FleetSecret, Incoming, JsonRpcPeers, NodeCard, PeerAnswer,
    PeerCall, PeerPort, PeerRuntime, PeerServer, PeerSettings, SettleCall, Settlement,
};
use stakker::{Fwd, Ret, Stakker};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Forwards connections to `to` and counts their bytes. Returns the address to connect to.
fn relay(to: Address, count: Arc<AtomicU64>) -> Address {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(to.as_str()).expect("connects");
            let pairs = [
                (
                    client.try_clone().expect("clones"),
                    server.try_clone().expect("clones"),
                ),
                (server, client),
            ];
            for (from, into) in pairs {
                let count = Arc::clone(&count);
                thread::spawn(move || copy(from, into, &count));
            }
        }
    });
    Address::from(address.to_string().as_str())
}

fn copy(mut from: TcpStream, mut into: TcpStream, count: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(bytes) = from.read(&mut buffer) {
        if bytes == 0 || into.write_all(&buffer[..bytes]).is_err() {
            return;
        }
        count.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Returns the processor time that this process has used, in seconds, from the system's clock ticks
/// of 1/100 second.
fn cpu_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2);
    ticks
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum::<f64>()
        / 100.0
}

fn request() -> RequestId {
    RequestId {
        incarnation: Incarnation(0x1234_5678_9abc_def0),
        sequence: 1_000_000,
    }
}

fn calls(address: &Address) -> Vec<(&'static str, PeerCall)> {
    let key = ClaimKey(0x1234_5678_9abc_def0_1234_5678_9abc_def0);
    let card = NodeCard {
        name: VmName::from("entry-galway-a-1"),
        incarnation: request().incarnation,
        address: address.clone(),
        domain: DomainName::from("galway-a"),
        config: ConfigVersion(1234),
        leaving: false,
    };
    vec![
        (
            "claim",
            PeerCall::Claim(ClaimCall {
                key,
                fingerprint: 0x1234_5678_9abc_def0,
                request: request(),
            }),
        ),
        (
            "settle",
            PeerCall::Settle(SettleCall {
                key,
                request: request(),
                settlement: Settlement::Ran,
            }),
        ),
        (
            "probe",
            PeerCall::Probe {
                card,
                leaving: Vec::new(),
            },
        ),
    ]
}

fn answering() -> Fwd<Incoming> {
    Fwd::new(|incoming: Incoming| {
        let answer = match incoming.call {
            PeerCall::Claim(_) => PeerAnswer::Claim(ClaimAnswer::Granted),
            PeerCall::Settle(_) => PeerAnswer::Settled,
            PeerCall::Probe { card, leaving } => PeerAnswer::Probe { card, leaving },
            _ => return,
        };
        incoming.ret.ret(Ok(answer));
    })
}

/// Makes `count` calls, of which `width` are in progress at once.
fn run(
    stakker: &mut Stakker,
    inbox: &Inbox,
    port: &Rc<dyn PeerPort>,
    to: &Address,
    call: &PeerCall,
    (count, width): (u64, u64),
) {
    let (done, mut sent) = (Rc::new(Cell::new(0)), 0);
    while done.get() < count {
        while sent < count && sent - done.get() < width {
            let own = Rc::clone(&done);
            let ret = Ret::new(move |answer: Option<Result<PeerAnswer, Error>>| {
                answer.expect("answered").expect("succeeds");
                own.set(own.get() + 1);
            });
            port.call(stakker, to, call.clone(), ret);
            sent += 1;
        }
        stakker.run(Instant::now(), false);
        if inbox.drain(stakker) == 0 {
            thread::sleep(Duration::from_micros(50));
        }
    }
}

fn main() {
    let inbox = Inbox::open();
    let bridge = Bridge::open(&inbox, 1);
    let mut stakker = Stakker::new(Instant::now());
    let secret = FleetSecret::new("a secret for measuring only").expect("long enough");
    let runtime = PeerRuntime::open(PeerSettings::new(secret), &bridge).expect("threads start");
    let address = Address::from("127.0.0.1:0");
    let server = PeerServer::bind(&runtime, &address, answering()).expect("binds");
    let count = Arc::new(AtomicU64::new(0));
    let relayed = relay(server.address().clone(), Arc::clone(&count));
    let port = JsonRpcPeers::open(&runtime);

    println!("call    wire B/call  cpu us/call (both sides)  calls/s  p50 alone us");
    for (name, call) in calls(server.address()) {
        run(&mut stakker, &inbox, &port, &relayed, &call, (10, 1));
        count.store(0, Ordering::Relaxed);
        run(&mut stakker, &inbox, &port, &relayed, &call, (1000, 1));
        let bytes = count.load(Ordering::Relaxed) as f64 / 1000.0;
        let (cpu, started) = (cpu_s(), Instant::now());
        run(
            &mut stakker,
            &inbox,
            &port,
            server.address(),
            &call,
            (20_000, 32),
        );
        let (cpu, took) = (cpu_s() - cpu, started.elapsed().as_secs_f64());
        let mut alone: Vec<Duration> = Vec::new();
        for _ in 0..500 {
            let started = Instant::now();
            run(&mut stakker, &inbox, &port, server.address(), &call, (1, 1));
            alone.push(started.elapsed());
        }
        alone.sort();
        println!(
            "{name:<7} {bytes:>11.0} {:>25.0} {:>8.0} {:>13}",
            cpu * 1e6 / 20_000.0,
            20_000.0 / took,
            alone[250].as_micros()
        );
    }
}
