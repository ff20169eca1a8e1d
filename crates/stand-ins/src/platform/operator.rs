//! Blocking calls that set up a platform stand-in over HTTP: for other stand-ins, which put
//! themselves on its list of VMs, for command lines and for tests.

use super::faults::Faults;
use super::model::{PlatformStats, VmChange};
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, WeightInfo};
use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use std::time::Duration;
use ureq::Agent;

/// How long one call may take.
const CALL: Duration = Duration::from_secs(10);

/// Operator calls to one platform stand-in.
#[derive(Clone, Debug)]
pub struct Operator {
    agent: Agent,
    base: Arc<str>,
}

impl Operator {
    /// Opens the interface at the stand-in's address.
    pub fn open(address: &Address) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(CALL))
            .build();
        Self {
            agent: config.new_agent(),
            base: format!("http://{address}").into(),
        }
    }

    /// Replaces all faults in force.
    ///
    /// # Errors
    /// Those of the call, as for all functions here; it may have taken effect.
    pub fn set_faults(&self, faults: &Faults) -> Result<(), Error> {
        self.post("/faults", faults)
    }

    /// Changes the list of VMs.
    ///
    /// # Errors
    /// Also where the change names a VM that is not on the list.
    pub fn change_vms(&self, change: &VmChange) -> Result<(), Error> {
        self.post("/vms", change)
    }

    /// Whether the list of VMs shows the name; yes where the list can't be had now.
    pub fn lists(&self, name: &VmName) -> bool {
        let response = self.agent.get(format!("{}/vms", self.base)).call();
        let listed: Result<Vec<VmEntry>, Error> = decode(response);
        listed.map_or(true, |entries| entries.iter().any(|e| e.name == *name))
    }

    /// Puts a model version into the weight store.
    ///
    /// # Errors
    /// Those of the call.
    pub fn put_weights(&self, info: &WeightInfo) -> Result<(), Error> {
        self.post("/weights", info)
    }

    /// The platform's counters.
    ///
    /// # Errors
    /// Those of the call.
    pub fn stats(&self) -> Result<PlatformStats, Error> {
        let response = self.agent.get(format!("{}/stats", self.base)).call();
        decode(response)
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Result<(), Error> {
        let request = self.agent.post(format!("{}{path}", self.base));
        let done: Result<IgnoredAny, Error> = decode(request.send_json(body));
        done.map(|_| ())
    }
}

fn decode<T: DeserializeOwned>(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, Error> {
    let read = response.and_then(|mut response| response.body_mut().read_json());
    read.map_err(|error| {
        let message = format!("platform stand-in: {error}");
        Error::may_have_run(ErrorKind::Unavailable, message)
    })
}
