//! One try: sending a request to a replica and judging the head of its answer.

use super::Call;
use super::choose::Chosen;
use super::fatal::{self, Break};
use crate::http::{Freshness, IncomingAnswer, Link, SendError};
use crate::journal::Event;
use crate::platform::{AnswerHead, ForwardHead};
use crate::signals;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::{Request, StatusCode, Version};

/// How long after a mixed-up answer a replica gets work that may run only once on new connections
/// only: a late answer can't come on one that had no request before.
const GARBLED_MS: SpanMs = SpanMs(10_000);

/// A try that failed.
#[derive(Clone, Debug)]
pub(super) struct TryError {
    /// What happened.
    pub why: Arc<str>,
    /// Whether the request may have run.
    pub ran: Verdict,
    /// Whether the replica got the request, so that the try counts.
    pub arrived: bool,
    /// What it says of the replica.
    pub symptom: Symptom,
    /// The replica at fault, where it isn't the one that was asked.
    pub fault: Option<Fault>,
    /// How the connection broke, where it did.
    pub broken: Option<Break>,
}

/// What a replica says of another that it depends on.
#[derive(Clone, Debug)]
pub(super) struct Fault {
    /// The other's instance or address.
    pub at: Arc<str>,
    /// What it says of it.
    pub symptom: Symptom,
}

impl Fault {
    /// What a refusal after `took_ms` says of a helper.
    ///
    /// Engines wait for a helper that is gone; one that is busy, leaving or out of memory is named
    /// at once. Doubting those as well took sound engines out in the peaks in which they were
    /// needed: 155 times on one day of 78 engines under wide reading.
    fn of_refusal(at: Arc<str>, took_ms: SpanMs) -> Self {
        let symptom = match took_ms >= HELPER_GONE_MS {
            true => Symptom::Unreachable,
            false => Symptom::Full,
        };
        Self { at, symptom }
    }
}

/// How long an engine waits at least before it names a helper as gone: the users' engines stall for
/// 1.5 s.
const HELPER_GONE_MS: SpanMs = SpanMs(1_000);

impl TryError {
    pub fn new(why: &str, ran: Verdict, symptom: Symptom) -> Self {
        Self {
            why: why.into(),
            ran,
            arrived: true,
            symptom,
            fault: None,
            broken: None,
        }
    }

    /// The same, with how the connection broke.
    pub fn broken(self, broken: Break) -> Self {
        Self {
            broken: Some(broken),
            ..self
        }
    }
}

/// Ends once the replica of a try has started again.
///
/// A replica that crashes behind a cut resets nothing, so the try would wait for as long as a silence
/// may last, although what it asked for is lost. The directory names the new start within a second
/// or so; the request may have run at the earlier one.
pub(super) async fn restarted(
    call: &Call,
    replica: &Replica,
    ran: Verdict,
    evidence: Evidence,
) -> TryError {
    call.node
        .directory_watch
        .wait_for_restart(&call.node, replica)
        .await;
    TryError::new("the replica has started again", ran, Symptom::Inconclusive)
        .broken(Break::of_restart(evidence))
}

/// A replica's answer that is to be passed on.
pub(super) struct Reply {
    pub answer: IncomingAnswer,
    pub head: AnswerHead,
    pub link: Link,
}

/// Sends the request to the chosen replica; returns its answer, also where that is a failure that
/// it reports itself.
pub(super) async fn send(
    call: &Call,
    chosen: &Chosen,
    attempt: u32,
    last_event: Option<&str>,
) -> Result<Reply, TryError> {
    record_placed(call, chosen, attempt);
    let mut freshness = freshness(call, chosen);
    loop {
        let link = call.node.pool.lease(chosen.replica.address, freshness);
        let mut link = match link.await {
            Ok(link) => link,
            Err(error) => return Err(never_arrived(&error)),
        };
        let sent_ms = call.node.now_ms();
        match link.send(request(call, chosen, last_event)).await {
            Ok(answer) => return judge(call, chosen.key, answer, link, sent_ms),
            Err(SendError::Unsent | SendError::Connect(_)) if link.reused => {
                freshness = Freshness::New;
            }
            Err(SendError::Broken(why)) => {
                let symptom = of_broken(link.reused);
                let broken = Break::of_connection(fatal::before_head(call));
                return Err(TryError::new(&why, Verdict::MayHaveRun, symptom).broken(broken));
            }
            Err(error) => return Err(never_arrived(&error)),
        }
    }
}

fn record_placed(call: &Call, chosen: &Chosen, attempt: u32) {
    let placement = chosen.placement.as_ref();
    call.node.journal.record(&Event::Placed {
        request: call.head.request.clone(),
        attempt,
        instance: chosen.replica.instance.clone(),
        helpers: placement.map(|p| p.helpers.clone()).unwrap_or_default(),
        writers: placement.map_or(0, |p| p.writers),
        backlog_ms: placement.map_or(0, |p| p.backlog_ms as u64),
        prompt_tokens: call.head.prompt_tokens.unwrap_or_default(),
        part_ms: placement.map_or(0, |p| p.part_ms as u64),
        expected_first_ms: chosen.expected_ms as u64,
        age_ms: call.age_ms(),
    });
}

/// What a connection that broke under a request says of its replica.
///
/// Replicas drop connections that rested, sooner than they say, and whatever comes next is reset.
/// Taken for an unreachable replica, broken connections doubted replicas 49 times on one day, each
/// time for all nodes. One that is really gone shows by the next connection to it.
fn of_broken(reused: bool) -> Symptom {
    match reused {
        true => Symptom::Failed,
        false => Symptom::Unreachable,
    }
}

fn never_arrived(error: &SendError) -> TryError {
    TryError {
        arrived: false,
        ..TryError::new(&error.to_string(), Verdict::NotRun, Symptom::Unreachable)
    }
}

fn freshness(call: &Call, chosen: &Chosen) -> Freshness {
    if call.route.kind.repeatable() {
        return Freshness::Kept;
    }
    let now_ms = call.node.now_ms();
    let garbled = call.node.with(|state| {
        let health = state.replicas.health(chosen.key);
        health.is_some_and(|h| h.mismatched_within(GARBLED_MS, now_ms))
    });
    match garbled {
        true => Freshness::New,
        false => Freshness::Recent,
    }
}

fn request(call: &Call, chosen: &Chosen, last_event: Option<&str>) -> Request<Full<Buffer>> {
    let send = ForwardHead {
        deadline_ms: call.left_ms(),
        instance: &chosen.replica.instance,
        account: call.account.as_ref().map(|account| &account.name),
        urgency: call.urgency(),
        helpers: &chosen.helpers,
        last_event,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = call
        .node
        .platform
        .dialect
        .forward_headers(&call.headers, &send);
    request
}

/// Judges the head of the answer to what was sent at `sent_ms`: whether it is the replica's answer to
/// this request.
fn judge(
    call: &Call,
    key: ReplicaKey,
    answer: IncomingAnswer,
    link: Link,
    sent_ms: MonoMs,
) -> Result<Reply, TryError> {
    let took_ms = call.node.now_ms().since(sent_ms);
    let status = answer.status();
    let dialect = &call.node.platform.dialect;
    let head = dialect.answer_head(&call.head.request, status.as_u16(), answer.headers());
    if head.names_other_request {
        // First of all: the refusal of an earlier request would else be taken for this one's, which
        // may be running.
        let why = "the answer belongs to another request";
        return Err(TryError::new(why, Verdict::MayHaveRun, Symptom::Mismatched));
    }
    if head.instance_mismatch {
        let why = "another replica has the address";
        return Err(TryError::new(why, Verdict::NotRun, Symptom::Unreachable));
    }
    note_signals(call, key, &head, sent_ms);
    if head.not_run {
        return Err(TryError {
            fault: head.faulty_replica.map(|at| Fault::of_refusal(at, took_ms)),
            ..TryError::new("the replica is full", Verdict::NotRun, Symptom::Full)
        });
    }
    if !head.names_this_request {
        let why = "the answer names no request";
        return Err(TryError::new(why, Verdict::MayHaveRun, Symptom::Mismatched));
    }
    if !head.signed || head.encoded {
        let why = format!("the answer with status {status} isn't the replica's own");
        return Err(TryError::new(&why, Verdict::MayHaveRun, Symptom::Failed));
    }
    if promises_not_run(status) {
        // The replica doesn't say that it didn't run the request, and the status would.
        let why = format!("the replica failed with status {status}");
        return Err(TryError::new(&why, Verdict::MayHaveRun, Symptom::Failed));
    }
    let now_ms = call.node.now_ms();
    call.node
        .with(|state| state.replica_backoffs.on_served(key, now_ms));
    Ok(Reply { answer, head, link })
}

/// Takes down what the answer to what was sent at `sent_ms` says of its replica. Only an answer that is
/// surely the replica's own says by its silence that a limit has ended.
fn note_signals(call: &Call, key: ReplicaKey, head: &AnswerHead, sent_ms: MonoMs) {
    let own = head.names_this_request && (head.signed || head.not_run);
    if own || head.signals.limit != LimitSignal::Absent {
        signals::on_answer(&call.node, key, &head.signals, Source::Answer, sent_ms);
    } else if head.names_this_request || head.not_run {
        signals::note(&call.node, key, &head.signals);
    }
}

/// Whether callers take this status for a promise that nothing ran.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Takes down what a try says of its replica, and tells the peers where it is doubted.
pub(super) fn note_symptom(call: &Call, key: ReplicaKey, symptom: Symptom, why: &str) {
    let node = &call.node;
    let now_ms = node.now_ms();
    let doubted = node.with(|state| {
        let instance = state.replicas.get(key)?.instance.clone();
        let health = state.replicas.health_mut(key)?;
        health.on_symptom(symptom, now_ms).then_some(instance)
    });
    if let Some(instance) = doubted {
        node.outbox.doubted(key, DOUBT_NOTIFIED_MS);
        node.journal.record(&Event::ReplicaDoubted {
            instance,
            why: why.into(),
        });
    }
}

/// How long peers doubt a replica that this node doubts: the first pause of its own.
const DOUBT_NOTIFIED_MS: SpanMs = SpanMs(1_000);

/// Takes down a failed try.
pub(super) fn note_failure(call: &Call, chosen: &Chosen, attempt: u32, error: &TryError) {
    call.node.journal.record(&Event::TryFailed {
        request: call.head.request.clone(),
        attempt,
        instance: chosen.replica.instance.clone(),
        why: error.why.clone(),
        ran: error.ran,
        digest: (error.ran != Verdict::NotRun).then(|| call.digest()),
        age_ms: call.age_ms(),
    });
    match &error.fault {
        Some(fault) => {
            if let Some(key) = helper_at(call, &fault.at) {
                note_symptom(call, key, fault.symptom, &error.why);
            }
        }
        None => note_symptom(call, chosen.key, error.symptom, &error.why),
    }
}

/// The replica that another names by its instance or its address.
fn helper_at(call: &Call, faulty_replica: &str) -> Option<ReplicaKey> {
    call.node.with(|state| {
        let ready = state.replicas.ready(&call.service.name);
        let named =
            |r: &Replica| &*r.instance == faulty_replica || r.address.to_string() == faulty_replica;
        let found = ready.iter().find(|(_, replica, _)| named(replica));
        found.map(|(key, _, _)| *key)
    })
}

/// How many replicas are tried at most of which none can be reached: a fleet whose replicas were all
/// replaced at once looks so until the directory tells of the new ones.
const UNREACHED_TRIES: u32 = 6;

/// What the tries of one request have come to so far.
#[derive(Debug, Default)]
pub(super) struct Tries {
    /// The replicas that were chosen.
    pub avoid: Vec<ReplicaKey>,
    /// How many of them got the request.
    pub arrived: u32,
    /// Whether one of them may have run it.
    pub ran: Option<Verdict>,
}

impl Tries {
    /// A try begins; returns its number.
    pub fn begin(&mut self, chosen: &Chosen) -> u32 {
        self.avoid.push(chosen.key);
        self.avoid.len() as u32
    }

    /// Takes a failure of the last try down; returns whether another may follow.
    pub async fn failed(&mut self, call: &Call, chosen: &Chosen, error: &TryError) -> bool {
        let attempt = self.avoid.len() as u32;
        note_failure(call, chosen, attempt, error);
        fatal::on_failed(call, chosen, error).await;
        self.arrived += u32::from(error.arrived);
        if error.ran != Verdict::NotRun {
            self.ran = Some(error.ran);
        }
        attempt <= UNREACHED_TRIES && may_try_again(call, self.arrived, error)
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.ran.unwrap_or(Verdict::NotRun)
    }
}

/// Whether a failed request may go to another replica: the caller's limits, then the budget.
pub(super) fn may_try_again(call: &Call, arrived_tries: u32, error: &TryError) -> bool {
    if error.ran != Verdict::NotRun && !call.route.kind.repeatable() {
        return false;
    }
    if call.left_ms() == SpanMs::ZERO || arrived_tries >= call.route.max_attempts {
        return false;
    }
    if !error.arrived {
        return true;
    }
    let node = &call.node;
    let nodes = node.node_count();
    let now_ms = node.now_ms();
    let taken = node.with(|state| state.budget.take(&call.service.name, nodes, now_ms));
    if !taken {
        node.journal.record(&Event::BudgetSpent {
            request: call.head.request.clone(),
        });
    }
    taken
}
