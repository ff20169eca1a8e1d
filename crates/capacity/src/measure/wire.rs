//! The bytes that HTTP adds to the JSON of a call, over real sockets of the loopback interface. A relay
//! between client and stand-in counts all bytes above TCP in both directions.

use super::{failed, table};
use crate::ledger::json_bytes;
use crate::report::Table;
use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox};
use bluebell_platform::{CallTimeouts, HttpLog, HttpVmList, PlatformClient};
use bluebell_stand_ins::engine::{EngineServer, EngineSettings, ServerOptions};
use bluebell_stand_ins::platform::{PlatformServer, PlatformSettings};
use bluebell_upstreams::HttpEngine;
use serde::Serialize;
use stakker::{Ret, Stakker};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The number of calls of each kind.
const CALLS: u64 = 50;

/// The timeout of one call.
const ANSWER: Duration = Duration::from_secs(10);

/// A function that makes one call on a port.
type Make<'a, T> = dyn Fn(&mut Stakker, Ret<Result<T, Error>>) + 'a;

/// A counting relay.
struct Relay {
    address: Address,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    fn open(to: &Address) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = Address::from(&*listener.local_addr()?.to_string());
        let bytes = Arc::new(AtomicU64::new(0));
        let (to, count) = (to.clone(), Arc::clone(&bytes));
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // If a connection can't be relayed, the client's connection breaks.
                let _ = relay(&client, &to, &count);
            }
        });
        Ok(Self { address, bytes })
    }
}

fn relay(client: &TcpStream, to: &Address, count: &Arc<AtomicU64>) -> std::io::Result<()> {
    let server = TcpStream::connect(to.as_str())?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let ways = [
        (client.try_clone()?, server.try_clone()?),
        (server, client.try_clone()?),
    ];
    for (from, into) in ways {
        let count = Arc::clone(count);
        thread::spawn(move || copy(from, into, &count));
    }
    Ok(())
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

/// The actor that makes the calls.
struct Caller {
    stakker: Stakker,
    inbox: Inbox,
}

impl Caller {
    /// Makes a call and returns the size of its answer as JSON.
    fn call<T: Serialize + 'static>(&mut self, make: &Make<'_, T>) -> Result<usize, Error> {
        let given = Rc::new(RefCell::new(None));
        let own = given.clone();
        let ret = Ret::new(move |answer: Option<Result<T, Error>>| *own.borrow_mut() = answer);
        make(&mut self.stakker, ret);
        let limit = Instant::now() + ANSWER;
        while Instant::now() < limit {
            self.stakker.run(Instant::now(), false);
            if let Some(answer) = given.take() {
                return answer.map(|value| json_bytes(&value));
            }
            if self.inbox.drain(&mut self.stakker) == 0 {
                thread::sleep(Duration::from_micros(100));
            }
        }
        Err(failed("no answer over the relay"))
    }

    /// Returns the mean bytes of a call on the network, and those of them that are the answer's JSON.
    fn measure<T: Serialize + 'static>(
        &mut self,
        relay: &Relay,
        make: &Make<'_, T>,
    ) -> Result<(f64, f64), Error> {
        // The first call opens the connection.
        self.call(make)?;
        let (before, mut json) = (relay.bytes.load(Ordering::Relaxed), 0);
        for _ in 0..CALLS {
            json += self.call(make)?;
        }
        let wire = relay.bytes.load(Ordering::Relaxed) - before;
        Ok((wire as f64 / CALLS as f64, json as f64 / CALLS as f64))
    }
}

/// Measures the bytes of each kind of call.
pub(super) fn of_calls() -> Result<Table, Error> {
    let io = |_: std::io::Error| failed("a socket of the loopback interface could not be opened");
    let settings = PlatformSettings::default();
    let platform = PlatformServer::bind("127.0.0.1:0", settings).map_err(io)?;
    let options = ServerOptions::default();
    let engine = EngineServer::bind("127.0.0.1:0", EngineSettings::default(), options);
    let engine = engine.map_err(io)?;
    let to_platform = Relay::open(&Address::from(&*platform.address().to_string())).map_err(io)?;
    let to_engine = Relay::open(&Address::from(&*engine.address().to_string())).map_err(io)?;
    let inbox = Inbox::open();
    let bridge = Bridge::open(&inbox, 2);
    let timeouts = CallTimeouts::default();
    let client = PlatformClient::open(bridge.clone(), &to_platform.address, None, timeouts);
    let (log, list) = (HttpLog::open(&client), HttpVmList::open(&client));
    let port = HttpEngine::open(bridge.clone(), bridge, to_engine.address.clone(), None);
    let mut caller = Caller {
        stakker: Stakker::new(Instant::now()),
        inbox,
    };
    let stream = StreamName::from("leases");
    let record: Arc<str> = "x".repeat(200).into();
    let rows = [
        caller.measure(&to_platform, &|core, ret| {
            log.append(core, &stream, vec![record.clone()], ret)
        })?,
        caller.measure(&to_platform, &|core, ret| {
            log.read(core, &stream, Offset(1_000_000), Bytes(1 << 20), ret)
        })?,
        caller.measure(&to_platform, &|core, ret| list.list(core, ret))?,
        caller.measure(&to_engine, &|core, ret| port.load(core, ret))?,
        caller.measure(&to_engine, &|core, ret| port.state(core, ret))?,
        caller.measure(&to_engine, &|core, ret| port.cache_events(core, 0, ret))?,
        caller.measure(&to_engine, &|core, ret| port.holds(core, ret))?,
    ];
    let names = [
        "append of one 200 B record",
        "read at the stream's end",
        "VM list, empty",
        "engine load",
        "engine state",
        "engine cache events, none new",
        "engine holds, none",
    ];
    let wire = names.into_iter().zip(rows.iter().map(|(wire, _)| *wire));
    let json = rows.map(|(_, json)| json);
    let row: Vec<(&str, f64)> = wire.collect();
    let mut table = table(
        "Bytes of a call both ways with all headers",
        "",
        &[1],
        &[row],
    );
    for (figure, json) in table.figures.iter_mut().zip(json) {
        figure.name = format!("{}, of it JSON {json:.0}", figure.name).into();
    }
    Ok(table)
}
