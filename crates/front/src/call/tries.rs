//! One attempt: sends a request to a replica and checks the head of its answer.

use super::Call;
use super::choose::{Chosen, Target};
use super::fatal::{self, Disconnect};
use super::hop::HopError;
use crate::http::{AnswerBody, Freshness, IncomingAnswer, Link, SendError};
use crate::journal::{ConnectionKind, Event};
use crate::links;
use crate::platform::{AnswerHead, ForwardHead};
use crate::signals;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode, Version};
use std::time::Duration;

/// The time after an answer to the wrong request during which work that may run only once is sent
/// to that replica on new connections only. A connection without an earlier request can't carry a
/// late answer.
const NEW_CONNECTIONS_MS: SpanMs = SpanMs(10_000);

/// The failure of an attempt.
#[derive(Clone, Debug)]
pub(super) struct TryError {
    /// The cause, as it appears in the answer to the caller and in the log.
    pub why: Arc<str>,
    /// The verdict about the request: it has run, has not run, or may have run.
    pub ran: Verdict,
    /// True if the replica received the request, so that the attempt counts.
    pub delivered: bool,
    /// The symptom of the replica that the failure shows.
    pub symptom: Symptom,
    /// The replica at fault, if it isn't the one that the request was sent to.
    pub fault: Option<DependencyFault>,
    /// The broken connection, if that is the cause.
    pub disconnect: Option<Disconnect>,
}

/// A fault that a replica reports of another replica that it depends on.
#[derive(Clone, Debug)]
pub(super) struct DependencyFault {
    /// The other replica's instance or address.
    pub at: Arc<str>,
    /// The symptom of the other replica that the report shows.
    pub symptom: Symptom,
}

impl DependencyFault {
    /// Returns the fault of a helper that is named in a refusal which took `took_ms`.
    ///
    /// Engines wait for a helper that is gone, but name one that is busy, leaving or out of memory
    /// at once. Doubting those helpers as well excluded healthy engines in the peaks in which they
    /// were needed: 155 times on one day with 78 engines when prompts were read by many engines
    /// each.
    fn of_refusal(at: Arc<str>, took_ms: SpanMs) -> Self {
        let symptom = match took_ms >= MIN_HELPER_TIMEOUT_MS {
            true => Symptom::Unreachable,
            false => Symptom::Full,
        };
        Self { at, symptom }
    }
}

/// The shortest time for which an engine waits before it reports a helper as gone. The users'
/// engines stall for 1.5 s.
const MIN_HELPER_TIMEOUT_MS: SpanMs = SpanMs(1_000);

impl TryError {
    /// Returns the failure of an attempt whose request was delivered.
    pub fn new(why: &str, ran: Verdict, symptom: Symptom) -> Self {
        Self {
            why: why.into(),
            ran,
            delivered: true,
            symptom,
            fault: None,
            disconnect: None,
        }
    }

    /// Returns the error with the broken connection that caused it.
    pub fn with_disconnect(self, disconnect: Disconnect) -> Self {
        Self {
            disconnect: Some(disconnect),
            ..self
        }
    }

    /// Returns the failure of an attempt that was silent until another one replaced it. The silence has been recorded
    /// as a symptom.
    pub fn of_replaced(mut self) -> Self {
        self.symptom = Symptom::Inconclusive;
        self
    }

    /// Returns the error of an answer whose events arrived during `writing_ms`.
    pub fn after_writing(mut self, writing_ms: SpanMs) -> Self {
        if let Some(disconnect) = &mut self.disconnect {
            disconnect.writing_ms = Some(writing_ms);
        }
        self
    }
}

/// Waits until the replica of an attempt has restarted, and returns the resulting failure.
///
/// A replica that crashes while the network is cut resets no connections, so the attempt would wait
/// for the longest silence allowed although its request is lost. The directory lists the restarted
/// replica within about a second. The request may have run before the restart.
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
        .with_disconnect(Disconnect::of_restart(evidence))
}

/// A replica's answer that may be passed on to the caller.
pub(super) struct Reply {
    /// The answer, whose body is still to be read.
    pub answer: IncomingAnswer,
    /// The parsed head of the answer.
    pub head: AnswerHead,
    /// The connection that the answer arrives on.
    pub link: Link,
}

/// Returns true if only the end of its connection ends an answer, given its headers and its unread body.
pub(super) fn ends_with_connection(headers: &HeaderMap, body: &AnswerBody) -> bool {
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !is_framed && !body.is_end_stream()
}

/// Returns the failure of an attempt whose answer ended with its connection when the replica crashed.
pub(super) fn cut_by_crash() -> TryError {
    let why = "the replica crashed, and the answer has no other end";
    TryError::new(why, Verdict::Ran, Symptom::Failed)
        .with_disconnect(Disconnect::of_restart(Evidence::Running))
}

/// Sends the request to the chosen replica and returns its answer, which may be a failure that the
/// replica itself reports.
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
            Err(error) => {
                links::on_unreachable(&call.node, &chosen.replica, chosen.began_ms);
                return Err(not_delivered(&error));
            }
        };
        if link.reused {
            chosen.connection.set(ConnectionKind::Kept);
        } else {
            chosen.connection.set(ConnectionKind::New);
        }
        let sent_ms = call.node.now_ms();
        let sending = link.send(request(call, chosen, last_event));
        match suspect_silence(call, chosen, sending).await {
            Ok(answer) => return check_answer(call, chosen.key, answer, link, sent_ms),
            Err(SendError::Unsent | SendError::Connect(_)) if link.reused => {
                freshness = Freshness::New;
            }
            Err(SendError::Broken(why)) => {
                links::suspect(&call.node, &call.service.name, sent_ms);
                let symptom = broken_connection_symptom(link.reused);
                let disconnect = Disconnect::of_connection(fatal::evidence_before_head(call));
                return Err(
                    TryError::new(&why, Verdict::MayHaveRun, symptom).with_disconnect(disconnect)
                );
            }
            Err(error) => return Err(not_delivered(&error)),
        }
    }
}

/// The shortest silence after which the links to the replicas are checked.
const MIN_SUSPECT_MS: SpanMs = SpanMs(300);

/// The multiple of the expected time after which they are checked.
const SUSPECT_FACTOR: f64 = 2.0;

/// Waits for the head of an answer. If it is late, the links to the replicas of the service are checked
/// meanwhile.
async fn suspect_silence<T>(call: &Call, chosen: &Chosen, answer: impl Future<Output = T>) -> T {
    let expected_ms = SpanMs((chosen.expected_ms * SUSPECT_FACTOR) as u64);
    let suspect_ms = expected_ms.max(MIN_SUSPECT_MS);
    tokio::pin!(answer);
    let in_time = tokio::time::timeout(Duration::from(suspect_ms), &mut answer);
    if let Ok(answer) = in_time.await {
        return answer;
    }
    links::suspect(&call.node, &call.service.name, chosen.began_ms);
    answer.await
}

/// Returns what the silence of an attempt shows, which is not known to have ended. One whose connection didn't open has not run,
/// and counts as evidence against the links.
pub(super) fn silent(call: &Call, target: &Target, symptom: Symptom, why: &str) -> TryError {
    match target.connection.get() {
        ConnectionKind::None => {
            links::on_unreachable(&call.node, &target.replica, target.began_ms);
            TryError {
                delivered: false,
                ..TryError::new("the connection didn't open", Verdict::NotRun, symptom)
            }
        }
        ConnectionKind::New | ConnectionKind::Kept => {
            links::suspect(&call.node, &call.service.name, target.began_ms);
            TryError::new(why, Verdict::MayHaveRun, symptom)
        }
    }
}

/// Waits until this node has lost its links to the replicas of the service, and returns what that shows of an attempt that
/// was sent without an answer so far. One whose connection isn't open ends by itself soon.
pub(super) async fn links_lost(call: &Call, target: &Target) -> TryError {
    links::wait_until_lost(&call.node, &call.service.name).await;
    wait_until_connected(target).await;
    let why = "the links to the replicas are lost";
    TryError::new(why, Verdict::MayHaveRun, Symptom::Inconclusive)
}

/// The interval at which an attempt whose silence is watched is checked for its connection. Opening one takes 300 ms at most.
const CONNECTED_POLL_MS: SpanMs = SpanMs(50);

/// Waits until the connection of an attempt is open.
pub(super) async fn wait_until_connected(target: &Target) {
    while target.connection.get() == ConnectionKind::None {
        tokio::time::sleep(Duration::from(CONNECTED_POLL_MS)).await;
    }
}

/// Records the placement of an attempt.
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

/// Returns the symptom that a connection which broke during a request shows of its replica.
///
/// Replicas close idle connections sooner than they announce, and the next request on one is reset.
/// When that counted as an unreachable replica, replicas were doubted 49 times on one day, each
/// time by all nodes. If the replica is really gone, the next new connection to it fails.
fn broken_connection_symptom(reused: bool) -> Symptom {
    match reused {
        true => Symptom::Failed,
        false => Symptom::Unreachable,
    }
}

/// Returns the failure of an attempt whose request was not sent.
fn not_delivered(error: &SendError) -> TryError {
    TryError {
        delivered: false,
        ..TryError::new(&error.to_string(), Verdict::NotRun, Symptom::Unreachable)
    }
}

/// Returns the kind of connection that an attempt may use.
fn freshness(call: &Call, chosen: &Chosen) -> Freshness {
    if call.route.kind.repeatable() {
        return Freshness::Kept;
    }
    let now_ms = call.node.now_ms();
    let garbled = call.node.with(|state| {
        let health = state.replicas.health(chosen.key);
        health.is_some_and(|h| h.mismatched_within(NEW_CONNECTIONS_MS, now_ms))
    });
    match garbled {
        true => Freshness::New,
        false => Freshness::Recent,
    }
}

/// Builds the HTTP request for the replica.
fn request(call: &Call, chosen: &Chosen, last_event: Option<&str>) -> Request<Full<Buffer>> {
    let send = ForwardHead {
        deadline_ms: call.left_ms(),
        instance: &chosen.replica.instance,
        account: call.account.as_ref().map(|account| &account.name),
        urgency: call.urgency(SpanMs(chosen.expected_ms as u64), last_event.is_some()),
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

/// Checks that an answer's head is the replica's own answer to the request that was sent at
/// `sent_ms`, and that the answer may be passed on.
fn check_answer(
    call: &Call,
    key: ReplicaKey,
    answer: IncomingAnswer,
    link: Link,
    sent_ms: MonoMs,
) -> Result<Reply, TryError> {
    let now_ms = call.node.now_ms();
    links::on_answer(&call.node, &call.service.name);
    let took_ms = now_ms.since(sent_ms);
    let status = answer.status();
    let dialect = &call.node.platform.dialect;
    let head = dialect.answer_head(&call.head.request, status.as_u16(), answer.headers());
    if head.names_other_request {
        // This is checked first: otherwise the refusal of an earlier request would be taken for
        // that of this request, which may be running.
        let why = "the answer belongs to another request";
        return Err(TryError::new(why, Verdict::MayHaveRun, Symptom::Mismatched));
    }
    if head.instance_mismatch {
        let why = "another replica has the address";
        return Err(TryError::new(why, Verdict::NotRun, Symptom::Unreachable));
    }
    record_signals(call, key, &head, sent_ms);
    if head.not_run {
        return Err(TryError {
            fault: head
                .faulty_replica
                .map(|at| DependencyFault::of_refusal(at, took_ms)),
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
        // The replica doesn't state that the request has not run, but the status would.
        let why = format!("the replica failed with status {status}");
        return Err(TryError::new(&why, Verdict::MayHaveRun, Symptom::Failed));
    }
    let now_ms = call.node.now_ms();
    call.node
        .with(|state| state.replica_backoffs.on_served(key, now_ms));
    Ok(Reply { answer, head, link })
}

/// Records what the answer to a request that was sent at `sent_ms` signals about its replica. Only
/// an answer that is certainly the replica's own ends a limit by not stating it.
fn record_signals(call: &Call, key: ReplicaKey, head: &AnswerHead, sent_ms: MonoMs) {
    let own = head.names_this_request && (head.signed || head.not_run);
    if own || head.signals.limit != LimitSignal::Absent {
        signals::on_answer(&call.node, key, &head.signals, Source::Answer, sent_ms);
    } else if head.names_this_request || head.not_run {
        signals::record_except_limit(&call.node, key, &head.signals);
    }
}

/// Returns true if callers take this status as a statement that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Records the symptom that an attempt which began at `began_ms` shows of its replica. If the replica is
/// now doubted, the peers are notified, unless no replica of the service was reached since then: the cause
/// may be this node's own links.
pub(super) fn record_symptom(
    call: &Call,
    key: ReplicaKey,
    symptom: Symptom,
    why: &str,
    began_ms: MonoMs,
) {
    let node = &call.node;
    let service = &call.service.name;
    let now_ms = node.now_ms();
    let doubted = node.with(|state| {
        if symptom == Symptom::Full && state.startup.covers(call.arrived_ms) {
            state.startup.full_engines.note(key, now_ms);
        }
        if state.links.is_lost(service) {
            return None;
        }
        let instance = state.replicas.get(key)?.instance.clone();
        let health = state.replicas.health_mut(key)?;
        health.on_symptom(symptom, now_ms).then_some(instance)
    });
    if let Some(instance) = doubted {
        if node.with(|state| state.links.has_contact_since(service, began_ms)) {
            node.outbox.doubted(key, PEER_DOUBT_MS);
        }
        node.journal.record(&Event::ReplicaDoubted {
            instance,
            why: why.into(),
        });
    }
}

/// The time for which peers doubt a replica that this node doubts: the same as the first such time
/// at this node.
const PEER_DOUBT_MS: SpanMs = SpanMs(1_000);

/// Records a failed attempt and its symptom.
pub(super) fn record_failure(call: &Call, target: &Target, attempt: u32, error: &TryError) {
    let now_ms = call.node.now_ms();
    let answer_age_ms = call
        .node
        .with(|state| state.links.answer_age_ms(&call.service.name, now_ms));
    call.node.journal.record(&Event::TryFailed {
        request: call.head.request.clone(),
        attempt,
        instance: target.replica.instance.clone(),
        why: error.why.clone(),
        connection: target.connection.get(),
        answer_age_ms,
        ran: error.ran,
        digest: (error.ran != Verdict::NotRun).then(|| call.digest()),
        age_ms: call.age_ms(),
    });
    match &error.fault {
        Some(fault) => {
            if let Some(key) = find_named(call, &fault.at) {
                record_symptom(call, key, fault.symptom, &error.why, target.began_ms);
            }
        }
        None => record_symptom(
            call,
            target.replica.key(),
            error.symptom,
            &error.why,
            target.began_ms,
        ),
    }
}

/// Records that an attempt's replica is silent, and its symptom. The attempt stays open.
pub(super) fn record_silence(call: &Call, target: &Target, error: &TryError) {
    let now_ms = call.node.now_ms();
    let answer_age_ms = call
        .node
        .with(|state| state.links.answer_age_ms(&call.service.name, now_ms));
    call.node.journal.record(&Event::TrySilent {
        request: call.head.request.clone(),
        instance: target.replica.instance.clone(),
        why: error.why.clone(),
        answer_age_ms,
        age_ms: call.age_ms(),
    });
    let key = target.replica.key();
    record_symptom(call, key, error.symptom, &error.why, target.began_ms);
}

/// Returns the replica that another one names by its instance or its address.
fn find_named(call: &Call, faulty_replica: &str) -> Option<ReplicaKey> {
    call.node.with(|state| {
        let ready = state.replicas.ready(&call.service.name);
        let named =
            |r: &Replica| &*r.instance == faulty_replica || r.address.to_string() == faulty_replica;
        let found = ready.iter().find(|(_, replica, _)| named(replica));
        found.map(|(key, _, _)| *key)
    })
}

/// The largest number of retries of one request, which bounds the attempts at replicas that can't
/// be reached. If all replicas are replaced at once, none can be reached until the directory lists
/// the new ones.
const MAX_RETRIES: u32 = 6;

/// The state of the attempts of one request.
#[derive(Debug, Default)]
pub(super) struct Tries {
    /// The replicas that have been chosen, one for each attempt.
    pub avoid: Vec<ReplicaKey>,
    /// The number of attempts whose replica received the request.
    pub delivered: u32,
    /// The verdict of the last attempt that may have run the request, if any.
    pub ran: Option<Verdict>,
    /// The number of attempts that were made before the request waited for room.
    before_wait: u32,
}

impl Tries {
    /// Records the start of an attempt and returns its number, from 1.
    pub fn begin(&mut self, chosen: &Chosen) -> u32 {
        self.avoid.push(chosen.key);
        self.avoid.len() as u32 + self.before_wait
    }

    /// Returns true if a request that has no other attempt left waits for room in place of being refused: it
    /// arrived during this node's warm-up, a full engine rejected it, and the retry budget allows another attempt, which
    /// is taken from it. The last attempt then doesn't count, and the engines that were tried may have room again.
    pub fn wait_for_room(&mut self, call: &Call, error: &TryError) -> bool {
        let is_rejected = error.symptom == Symptom::Full && self.verdict() == Verdict::NotRun;
        let waits = is_rejected
            && call.service.engine.is_some()
            && call
                .node
                .with(|state| state.startup.covers(call.arrived_ms))
            && call.age_ms() < call.wait_timeouts().max_wait_ms
            && call.left_ms() > SpanMs::ZERO
            // Replicas count what they reject as well.
            && take_retry(call);
        if waits {
            self.before_wait += self.avoid.len() as u32;
            self.avoid.clear();
            self.delivered = self.delivered.saturating_sub(1);
        }
        waits
    }

    /// Records the failure of an attempt.
    pub async fn failed(&mut self, call: &Call, target: &Target, attempt: u32, error: &TryError) {
        record_failure(call, target, attempt, error);
        self.delivered += u32::from(error.delivered);
        if error.ran != Verdict::NotRun {
            self.ran = Some(error.ran);
        }
        fatal::on_failed(call, &target.replica, error).await;
    }

    /// Returns true if another attempt may follow one that failed, beside which `open` attempts are open.
    pub fn may_follow(&self, call: &Call, open: u32, error: &TryError) -> bool {
        let tried = self.avoid.len() as u32;
        tried <= MAX_RETRIES && may_try_again(call, self.delivered + open, error)
    }

    /// Returns true if another attempt may follow beside `open` silent ones, once the retry budget allows it.
    pub fn may_try_beside(&self, call: &Call, open: u32) -> bool {
        let tried = self.avoid.len() as u32;
        tried <= MAX_RETRIES
            && call.route.kind.repeatable()
            && self.delivered + open < call.max_attempts()
    }

    /// Records the failure of an exchange with a peer, which may have used all attempts that were left.
    /// Returns true if another attempt may follow.
    pub fn hop_failed(&mut self, call: &Call, error: &TryError) -> bool {
        if error.ran != Verdict::NotRun {
            self.ran = Some(error.ran);
        }
        if error.delivered {
            self.delivered = call.max_attempts();
        }
        may_try_again(call, self.delivered, error)
    }

    /// Records the end of an exchange with a peer, beside which attempts at replicas are open. Returns true if another
    /// one may follow.
    pub fn hop_ended(&mut self, call: &Call, error: &HopError) -> bool {
        match error {
            HopError::NoPeer(_) => true,
            HopError::Answered(answer) if answer.may_have_run() => {
                self.ran = Some(Verdict::MayHaveRun);
                self.delivered = call.max_attempts();
                false
            }
            HopError::Answered(_) => true,
            HopError::Failed(error) => self.hop_failed(call, error),
        }
    }

    /// Returns the verdict for the request as a whole.
    pub fn verdict(&self) -> Verdict {
        self.ran.unwrap_or(Verdict::NotRun)
    }
}

/// Returns true if a failed request may be sent to another replica. Checks the verdict, the
/// deadline and the route's number of attempts, and then takes from the service's retry budget.
pub(super) fn may_try_again(call: &Call, delivered_tries: u32, error: &TryError) -> bool {
    if error.ran != Verdict::NotRun && !call.route.kind.repeatable() {
        return false;
    }
    if call.left_ms() == SpanMs::ZERO || delivered_tries >= call.max_attempts() {
        return false;
    }
    if !error.delivered {
        return true;
    }
    take_retry(call)
}

/// The permission to make one more attempt. It is taken from the retry budget once for each attempt that a replica received:
/// an attempt that ended before that leaves its permission for the next.
#[derive(Debug, Default)]
pub(super) struct RetryPass {
    is_held: bool,
    /// True if the budget was spent when an attempt was last due.
    lacks_budget: bool,
}

impl RetryPass {
    /// Returns the permission of a first attempt, which the budget doesn't count.
    pub fn of_first_attempt() -> Self {
        Self {
            is_held: true,
            lacks_budget: false,
        }
    }

    /// Returns true if an attempt may be made now, without taking anything from the budget.
    pub fn is_available(&mut self, call: &Call) -> bool {
        let is_available = self.is_held || has_retry_left(call);
        if !is_available && !self.lacks_budget {
            record_budget_spent(call);
        }
        self.lacks_budget = !is_available;
        is_available
    }

    /// Takes the permission, from the budget unless it is held. Returns false if the budget is spent.
    pub fn take(&mut self, call: &Call) -> bool {
        let is_taken = self.is_held || take_retry(call);
        self.is_held = false;
        is_taken
    }

    /// Returns the permission of an attempt that no replica received, or that the budget has paid for already.
    pub fn give_back(&mut self) {
        self.is_held = true;
    }
}

/// Returns true if the service's retry budget has an attempt left.
pub(super) fn has_retry_left(call: &Call) -> bool {
    let node = &call.node;
    let nodes = node.node_count();
    let now_ms = node.now_ms();
    node.with(|state| state.budget.has_left(&call.service.name, nodes, now_ms))
}

/// Takes an attempt from the service's retry budget. Returns false if none is left.
fn take_retry(call: &Call) -> bool {
    let node = &call.node;
    let nodes = node.node_count();
    let now_ms = node.now_ms();
    let taken = node.with(|state| state.budget.take(&call.service.name, nodes, now_ms));
    if !taken {
        record_budget_spent(call);
    }
    taken
}

fn record_budget_spent(call: &Call) {
    call.node.journal.record(&Event::BudgetSpent {
        request: call.head.request.clone(),
    });
}
