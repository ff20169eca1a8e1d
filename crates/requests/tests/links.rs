//! Answers that arrive on a link that is no longer awaited.

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::{Kind, PolicySettings};
use bluebell_quarantine::prelude::Quarantine;
use bluebell_requests::budget::{Budgets, PayerId};
use bluebell_requests::call::CallerId;
use bluebell_requests::cursor::Signer;
use bluebell_requests::fleet::Fleet;
use bluebell_requests::lengths::Lengths;
use bluebell_requests::request::{
    Context, Effect, Exchange, LinkNo, LiveRequest, Phase, Reader, Recalls, Work,
};
use bluebell_requests::{NoObserver, RequestsSettings};
use bluebell_upstreams::{ServiceAnswer, ServiceCall};
use common::{CONFIG, ReceivedEvents};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::sync::atomic::AtomicU64;

const UPSTREAM: UpstreamId = UpstreamId(1);

fn call(request: RequestId) -> ServiceCall {
    ServiceCall {
        request,
        method: "GET".into(),
        path: "/notices".into(),
        content_type: None,
        body: Vec::new(),
        idempotency_key: None,
        timeout_ms: SpanMs(1_000),
    }
}

/// Creates a service call whose second try is under way.
fn life_at_second_try(received: &ReceivedEvents) -> LiveRequest {
    let request = RequestId {
        incarnation: Incarnation(1),
        sequence: 1,
    };
    let exchange = Exchange {
        service: "board".into(),
        call: call(request),
        avoid: Vec::new(),
    };
    LiveRequest {
        request,
        account: "parish".into(),
        payer: PayerId(0),
        arrived_ms: MonoMs(0),
        deadline_ms: MonoMs(5_000),
        digest: None,
        repeatable: true,
        claim: None,
        admitted: true,
        phase: Phase::Exchanging { upstream: UPSTREAM },
        reader: Reader::Attached {
            caller: CallerId(1),
            sink: Box::new(received.clone()),
            from: 0,
        },
        attempt: AttemptNo(2),
        earlier_verdict: Verdict::MayHaveRun,
        current_verdict: Verdict::MayHaveRun,
        link: LinkNo(2),
        work: Work::Exchange(Box::new(exchange)),
        last_upstream: Some(UPSTREAM),
        cancel_replies: Vec::new(),
        requeues: 0,
        recalls: Recalls::default(),
        ended: None,
        timer: None,
    }
}

/// The answer to the first try arrives while the second try is under way. If it ended the call, the
/// answers to two tries would be confused and the second one would be lost. Only the answer on the
/// awaited link ends the call.
#[test]
fn a_late_answer_of_an_earlier_try_is_dropped() {
    let settings = RequestsSettings::default();
    let config = bluebell_config::parse(CONFIG).expect("the configuration is valid");
    let mut policy = bluebell_policy::open(PolicySettings::of(Kind::LeastRequests), &config, 1);
    let mut out: Vec<Effect> = Vec::new();
    let mut context = Context {
        now_ms: MonoMs(100),
        owner: Incarnation(1),
        settings: &settings,
        policy: &mut *policy,
        observer: &mut NoObserver,
        budgets: &mut Budgets::new(&settings),
        signer: &Signer::new(b"secret"),
        quarantine: &mut Quarantine::default(),
        fleet: &Fleet::default(),
        lengths: &mut Lengths::default(),
        rng: &mut ChaCha8Rng::seed_from_u64(1),
        out: &mut out,
    };
    let received = ReceivedEvents::new(Arc::new(AtomicU64::new(0)));
    let mut live = life_at_second_try(&received);
    let answer = |status| {
        Some(Ok(ServiceAnswer {
            status,
            content_type: None,
            body: Vec::new(),
        }))
    };
    live.on_exchanged(LinkNo(1), answer(500), &mut context);
    assert!(!live.is_done(), "the awaited answer has not arrived");
    assert!(received.all().is_empty(), "{}", received.summary());
    live.on_exchanged(LinkNo(2), answer(200), &mut context);
    assert!(live.is_done());
    assert_eq!(received.all().len(), 1, "{}", received.summary());
}
