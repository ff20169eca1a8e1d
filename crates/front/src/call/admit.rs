//! Admission: reads a request's head and body and looks up its route and account.

use super::answers::{self, Answer};
use super::{Call, ForwardedCall};
use crate::forward::{ForwardedGuard, HopHead};
use crate::http::Holding;
use crate::node::Node;
use crate::platform::{CallHead, CallHeadError};
use crate::shares::{self, RequestShare};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bytes::{Bytes as Buffer, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The retry time in answers of a node that isn't ready to serve: by then the node has a
/// configuration, or the balancer prefers another node.
const NOT_READY_RETRY_MS: SpanMs = SpanMs(500);

/// The fraction of its deadline for which a request waits at a node that isn't ready to serve it.
const NOT_READY_WAIT_FRACTION: f64 = 0.15;

/// The longest wait at a node that isn't ready. Callers of short streams leave after two seconds of
/// silence.
const MAX_NOT_READY_WAIT_MS: SpanMs = SpanMs(1_500);

/// The longest retry time in answers of a node that can't reach the directory, as a fraction of the
/// caller's deadline. Outages last for seconds, and callers retry once, within a third of their
/// deadline. Of 466 callers that were told to retry after half a second of an outage, nearly all
/// were refused again.
const OUTAGE_RETRY_FRACTION: f64 = 0.33;

/// The lower bound of the random factor on that retry time. Callers that were refused in an outage
/// must not all retry at the same time.
const MIN_OUTAGE_RETRY_FACTOR: f64 = 0.6;

/// The deadline of a request whose caller states none. The route's timeout still applies.
const DEFAULT_DEADLINE_MS: SpanMs = SpanMs(600_000);

/// The result of looking up a request in the configuration.
struct Admitted {
    version: ConfigVersion,
    route: Arc<Route>,
    service: Arc<Service>,
    account: Option<Arc<Account>>,
    body_bytes: Bytes,
}

/// The reason for which the configuration admits a request not at all or not yet.
enum LookupError {
    /// The request is invalid for the configuration; trying again won't help.
    Rejected(StatusCode, &'static str),
    /// This node lacks the configuration that it needs; the request may be admitted later.
    NotReady(&'static str),
}

impl LookupError {
    /// Builds the answer to the caller.
    fn answer(self, node: &Node, head: &CallHead) -> Answer {
        match self {
            LookupError::Rejected(status, why) => {
                answers::rejected(node, &head.request, status, why)
            }
            LookupError::NotReady(why) => answers::refused(
                node,
                head,
                why,
                SpanMs::ZERO,
                not_ready_retry_ms(node, head),
            ),
        }
    }
}

/// Waits for a limited time until a node that has just started knows its configuration and its
/// replicas.
///
/// Callers whose connections broke when the node restarted retry at once, and don't retry again if
/// that is refused. The directory usually answers within this wait. If it doesn't, the caller is
/// refused with most of its deadline left.
async fn wait_until_informed(node: &Node, head: &CallHead) {
    if node.is_initialized() {
        return;
    }
    // The lookup that follows shows if the node is ready by then.
    let _ = tokio::time::timeout(not_ready_wait(head), node.wait_until_initialized()).await;
}

/// Returns the longest time that a request waits at a node that isn't ready to serve it.
fn not_ready_wait(head: &CallHead) -> Duration {
    let allowed_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let wait_ms = allowed_ms.mul_f64(NOT_READY_WAIT_FRACTION);
    Duration::from(wait_ms.min(MAX_NOT_READY_WAIT_MS))
}

/// Returns the retry time in the answer of a node that isn't ready to serve a request.
fn not_ready_retry_ms(node: &Node, head: &CallHead) -> SpanMs {
    let longest_ms = head.deadline_ms.map(|ms| ms.mul_f64(OUTAGE_RETRY_FRACTION));
    match longest_ms.filter(|_| node.directory_watch.is_directory_unreachable()) {
        Some(longest_ms) => longest_ms.mul_f64(rand::random_range(MIN_OUTAGE_RETRY_FACTOR..1.0)),
        None => NOT_READY_RETRY_MS,
    }
}

/// Returns the answer to a request whose head can't be parsed.
fn malformed_head(node: &Node, error: CallHeadError) -> Answer {
    let status = StatusCode::BAD_REQUEST;
    answers::rejected(node, &"".into(), status, &error.to_string())
}

/// Admits a request, or returns the answer that refuses or rejects it.
pub async fn admit(node: Rc<Node>, request: Request<Incoming>) -> Result<Call, Answer> {
    let arrived_ms = node.now_ms();
    let (parts, mut body) = request.into_parts();
    let AdmittedHead {
        head,
        admitted,
        timeout_ms,
    } = match admit_head(&node, &parts, arrived_ms).await {
        Ok(admitted) => admitted,
        Err(answer) => {
            discard(&mut body).await;
            return Err(answer);
        }
    };
    let deadline_ms = arrived_ms + timeout_ms;
    let body = read_body(&node, &head, body, admitted.body_bytes, timeout_ms).await?;
    let now_ms = node.now_ms();
    node.with(|state| state.budget.on_request(&admitted.service.name, now_ms));
    let call = Arrival {
        node,
        head,
        parts,
        body,
        arrived_ms,
        deadline_ms,
    }
    .admitted(admitted, None);
    // A forwarded request was counted at the node where it arrived.
    if let Some(share) = &call.share {
        shares::on_admitted(&call.node, share);
    }
    Ok(call)
}

/// A request of which the head was admitted.
struct AdmittedHead {
    head: CallHead,
    admitted: Admitted,
    /// The time from its arrival within which the request must be answered.
    timeout_ms: SpanMs,
}

/// Admits a request by its head, or returns the answer that refuses or rejects it.
async fn admit_head(
    node: &Node,
    parts: &Parts,
    arrived_ms: MonoMs,
) -> Result<AdmittedHead, Answer> {
    let head = node.platform.dialect.call_head(&parts.headers);
    let head = head.map_err(|error| malformed_head(node, error))?;
    wait_until_informed(node, &head).await;
    let admitted = match look_up_current(node, &head, parts).await {
        Ok(admitted) => admitted,
        Err(error) => return Err(error.answer(node, &head)),
    };
    let allowed_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let timeout_ms = admitted.route.timeout_ms.min(allowed_ms);
    if !node.accepts(arrived_ms + timeout_ms) {
        return Err(answers::leaving(node, &head));
    }
    Ok(AdmittedHead {
        head,
        admitted,
        timeout_ms,
    })
}

/// The time for which the body of a request that is turned away may still arrive before it is answered.
const DISCARD_TIMEOUT_MS: SpanMs = SpanMs(200);

/// Reads and drops the rest of a body. A connection that is closed with unread bytes is reset, and its caller may
/// lose the answer.
async fn discard(body: &mut Incoming) {
    let rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            drop(frame);
        }
    };
    if tokio::time::timeout(Duration::from(DISCARD_TIMEOUT_MS), rest)
        .await
        .is_err()
    {
        log::debug!("a request was turned away before its body had arrived");
    }
}

/// Admits a request that a peer forwarded, or returns the answer that rejects it or says that another node
/// may serve it.
pub async fn admit_forwarded(
    node: Rc<Node>,
    request: Request<Incoming>,
    hop: HopHead,
) -> Result<Call, Answer> {
    let now_ms = node.now_ms();
    let (parts, mut body) = request.into_parts();
    let ForwardedHead {
        head,
        admitted,
        guard,
    } = match admit_forwarded_head(&node, &parts, &hop) {
        Ok(admitted) => admitted,
        Err(answer) => {
            discard(&mut body).await;
            return Err(*answer);
        }
    };
    let deadline_ms = now_ms + hop.left_ms;
    let body = read_body(&node, &head, body, admitted.body_bytes, hop.left_ms).await?;
    let arrived_ms = now_ms - hop.age_ms;
    Ok(Arrival {
        node,
        head,
        parts,
        body,
        arrived_ms,
        deadline_ms,
    }
    .admitted(
        admitted,
        Some(ForwardedCall {
            head: hop,
            _guard: guard,
        }),
    ))
}

/// A forwarded request of which the head was admitted.
struct ForwardedHead {
    head: CallHead,
    admitted: Admitted,
    guard: ForwardedGuard,
}

/// Admits a forwarded request by its head, or returns the answer that rejects it or says that another node may
/// serve it.
fn admit_forwarded_head(
    node: &Node,
    parts: &Parts,
    hop: &HopHead,
) -> Result<ForwardedHead, Box<Answer>> {
    let head = node.platform.dialect.call_head(&parts.headers);
    let head = head.map_err(|error| Box::new(malformed_head(node, error)))?;
    let unavailable = |why| Box::new(answers::unavailable(node, &head, why, SpanMs::ZERO));
    if !node.is_initialized() || node.config_version() < Some(hop.version) {
        return Err(unavailable(
            "the node has no configuration that is new enough",
        ));
    }
    if !node.accepts(node.now_ms() + hop.left_ms) {
        return Err(unavailable("the node is leaving"));
    }
    let Some(guard) = node.forwarded_calls.begin() else {
        return Err(unavailable(
            "the node serves as many forwarded requests as it can",
        ));
    };
    let admitted = match look_up(node, &head, parts) {
        Ok(admitted) => admitted,
        Err(LookupError::NotReady(why)) => return Err(unavailable(why)),
        Err(error) => return Err(Box::new(error.answer(node, &head))),
    };
    if node.with(|state| state.links.is_lost(&admitted.service.name)) {
        return Err(unavailable("no replica of the service can be reached"));
    }
    Ok(ForwardedHead {
        head,
        admitted,
        guard,
    })
}

/// A request that was read completely.
struct Arrival {
    node: Rc<Node>,
    head: CallHead,
    parts: Parts,
    body: HeldBody,
    arrived_ms: MonoMs,
    deadline_ms: MonoMs,
}

impl Arrival {
    /// Returns the admitted request.
    fn admitted(self, admitted: Admitted, forwarded: Option<ForwardedCall>) -> Call {
        let resumes = |call: &ForwardedCall| call.head.resume.is_some();
        let share = RequestShare::of(
            &admitted.service,
            admitted.account.as_deref(),
            &admitted.route,
            (
                self.head.prompt_tokens.unwrap_or_default(),
                self.head.answer_tokens,
            ),
            forwarded.as_ref().is_some_and(resumes),
        );
        Call {
            node: self.node,
            share,
            head: self.head,
            method: self.parts.method,
            uri: self.parts.uri,
            headers: self.parts.headers,
            body: self.body.body,
            _holding: self.body.holding,
            version: admitted.version,
            forwarded,
            route: admitted.route,
            service: admitted.service,
            account: admitted.account,
            arrived_ms: self.arrived_ms,
            deadline_ms: self.deadline_ms,
            returning: Returning::default(),
            is_trial: Cell::new(false),
            suspect_trial: RefCell::default(),
            is_part_trial: Cell::new(false),
            digest: OnceCell::new(),
        }
    }
}

/// Looks up a request in the newest configuration that the node can obtain soon.
///
/// A rejection is final for the caller. If the node knows that a newer version exists, the lookup
/// waits for it and is repeated; if it doesn't arrive in time, the request is refused for now
/// instead of rejected.
async fn look_up_current(
    node: &Node,
    head: &CallHead,
    parts: &Parts,
) -> Result<Admitted, LookupError> {
    let found = look_up(node, head, parts);
    if !matches!(found, Err(LookupError::Rejected(..))) || !node.directory_watch.is_behind() {
        return found;
    }
    // The lookup that follows shows if the version has arrived.
    let _ = tokio::time::timeout(
        not_ready_wait(head),
        node.directory_watch.wait_until_current(),
    )
    .await;
    match look_up(node, head, parts) {
        Err(LookupError::Rejected(..)) if node.directory_watch.is_behind() => {
            Err(LookupError::NotReady("the configuration is being replaced"))
        }
        found => found,
    }
}

/// Looks up a request's route, account and service in the current configuration.
fn look_up(node: &Node, head: &CallHead, parts: &Parts) -> Result<Admitted, LookupError> {
    let Some(config) = node.with(|state| state.config.clone()) else {
        return Err(LookupError::NotReady("no configuration is known yet"));
    };
    let host = super::host(&parts.uri, &parts.headers);
    let RouteLookup::Found(route) = config.route(host, parts.uri.path()) else {
        let why = "no route answers to host and path";
        return Err(LookupError::Rejected(StatusCode::NOT_FOUND, why));
    };
    let account = account(&config, &route, head)?;
    let service = route.service(rand::random());
    let Some(service) = service.and_then(|name| config.service(name)).cloned() else {
        return Err(LookupError::NotReady(
            "the route's service is not configured",
        ));
    };
    Ok(Admitted {
        version: config.version(),
        route,
        service,
        account,
        body_bytes: config.limits().body_bytes,
    })
}

/// Returns the account that the caller's key belongs to, or `None` if the route needs no key.
fn account(
    config: &ServingConfig,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<Account>>, LookupError> {
    if !config.requires_key() || route.public {
        return Ok(None);
    }
    let account = head.key.as_ref().and_then(|key| config.account(key));
    let unknown = LookupError::Rejected(StatusCode::UNAUTHORIZED, "the key is unknown");
    account.cloned().map(Some).ok_or(unknown)
}

/// A request's body, and the memory that holds it.
struct HeldBody {
    body: Buffer,
    holding: Rc<Holding>,
}

/// Reads the request's body as memory for it becomes free, up to `limit`, or returns the answer that rejects it.
async fn read_body(
    node: &Node,
    head: &CallHead,
    body: Incoming,
    limit: Bytes,
    timeout_ms: SpanMs,
) -> Result<HeldBody, Answer> {
    let holding = node.held.open_whole();
    let collected = collect(body, limit, &holding);
    match tokio::time::timeout(Duration::from(timeout_ms), collected).await {
        Ok(Ok(body)) => {
            holding.pin();
            Ok(HeldBody { body, holding })
        }
        Ok(Err(BodyFailure::NoMemory)) => Err(no_memory(node, head)),
        Err(_) if node.held.is_full() => Err(no_memory(node, head)),
        Ok(Err(BodyFailure::Unusable)) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            let why = "the body is too large or broke off";
            Err(answers::rejected(node, &head.request, status, why))
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            let why = "the body didn't arrive in time";
            Err(answers::rejected(node, &head.request, status, why))
        }
    }
}

/// The reason for which a body couldn't be read.
enum BodyFailure {
    /// It is too large or broke off.
    Unusable,
    /// The node needs the memory for others.
    NoMemory,
}

/// Collects a body as memory for it becomes free.
async fn collect(body: Incoming, limit: Bytes, holding: &Holding) -> Result<Buffer, BodyFailure> {
    let mut limited = Limited::new(body, limit.0 as usize);
    let mut whole = BytesMut::new();
    while let Some(frame) = limited.frame().await {
        let frame = frame.map_err(|_| BodyFailure::Unusable)?;
        if let Ok(data) = frame.into_data() {
            let added = holding.add(data.len()).await;
            added.map_err(|_| BodyFailure::NoMemory)?;
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}

/// The retry time if the node has no memory for a body. Slow readers are closed sooner.
const NO_MEMORY_RETRY_MS: SpanMs = SpanMs(1_000);

/// Returns the answer to a request whose body the node has no memory for.
fn no_memory(node: &Node, head: &CallHead) -> Answer {
    let why = "the node has no memory for the body";
    answers::refused(node, head, why, SpanMs::ZERO, NO_MEMORY_RETRY_MS)
}
