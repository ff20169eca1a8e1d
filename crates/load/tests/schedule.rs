//! Tests that the same plan gives the same schedule, and that the schedule and the prompts follow the
//! plan and the mix's bounds.

use bluebell_base::prelude::*;
use bluebell_load::{
    AccountKey, ClassPlan, KeyedPlan, Kind, LoadPlan, Mix, PlanError, PromptMaker, Schedule,
};
use bluebell_upstreams::prompt::count_tokens;

fn plan() -> LoadPlan {
    let targets = vec![Address::from("127.0.0.1:1")];
    let mut plan = LoadPlan::new(targets, AccountKey::new("key"), ClassName::from("draft"));
    plan.requests = 20_000;
    plan.rate = PerSecond(100.0);
    plan
}

fn keyed(share: f64) -> KeyedPlan {
    KeyedPlan {
        class: ClassName::from("notice"),
        answer_tokens: Tokens(8),
        share,
    }
}

#[test]
fn the_same_seed_gives_the_same_schedule_and_another_seed_another() {
    let first = Schedule::of(&plan());
    assert_eq!(first, Schedule::of(&plan()));
    let mut other = plan();
    other.seed = 2;
    assert_ne!(first, Schedule::of(&other));
}

#[test]
fn arrivals_ascend_at_the_planned_rate() {
    let schedule = Schedule::of(&plan()).0;
    assert!(
        schedule
            .windows(2)
            .all(|pair| pair[0].at_us <= pair[1].at_us)
    );
    let seconds = schedule.last().expect("not empty").at_us as f64 / 1e6;
    let rate = schedule.len() as f64 / seconds;
    assert!((95.0..105.0).contains(&rate), "{rate}/s");
}

#[test]
fn one_in_fifty_of_the_default_mix_is_over_a_hundred_thousand_tokens() {
    let schedule = Schedule::of(&plan()).0;
    let bounds = Tokens(1_000)..=Tokens(1_000_000);
    assert!(
        schedule
            .iter()
            .all(|planned| bounds.contains(&planned.prompt_tokens))
    );
    let long = schedule
        .iter()
        .filter(|planned| planned.prompt_tokens > Tokens(100_000));
    let one_in = schedule.len() as f64 / long.count() as f64;
    assert!((40.0..62.0).contains(&one_in), "one in {one_in}");
}

#[test]
fn classes_and_kinds_follow_the_plan() {
    let mut plan = plan();
    plan.keyed = Some(keyed(0.25));
    plan.classes.insert(
        0,
        ClassPlan {
            name: ClassName::from("short"),
            up_to_tokens: Some(Tokens(4_000)),
            answer_tokens: Tokens(8),
        },
    );
    let schedule = Schedule::of(&plan).0;
    let is_expected_class =
        |p: &bluebell_load::Planned| (p.class == 0) == (p.prompt_tokens <= Tokens(4_000));
    assert!(schedule.iter().all(is_expected_class));
    let keyed = schedule.iter().filter(|p| p.kind == Kind::KeyedCompletion);
    let share = keyed.count() as f64 / schedule.len() as f64;
    assert!((0.23..0.27).contains(&share), "{share}");
}

#[test]
fn an_invalid_plan_reports_every_problem() {
    let mut plan = plan();
    plan.targets.clear();
    plan.rate = PerSecond(0.0);
    plan.keyed = Some(keyed(1.5));
    plan.classes[0].up_to_tokens = Some(Tokens(10));
    let errors = plan.check().expect_err("an invalid plan");
    assert_eq!(
        errors,
        [
            PlanError::Empty("targets"),
            PlanError::OutOfRange {
                what: "rate",
                wanted: "more than 0/s"
            },
            PlanError::OutOfRange {
                what: "keyed share",
                wanted: "from 0 to 1"
            },
            PlanError::LastClassLimited,
        ]
    );
}

#[test]
fn prompts_have_the_requested_length_and_differ() {
    let maker = PromptMaker::new(7);
    for prompt_tokens in [Tokens(1_000), Tokens(1_001), Tokens(250_000)] {
        let first = maker.prompt(1, 0, prompt_tokens, Tokens(100));
        let second = maker.prompt(2, 0, prompt_tokens, Tokens(100));
        assert_eq!(count_tokens(&first), prompt_tokens);
        assert_ne!(first, second);
        assert_eq!(first.as_bytes()[..400], second.as_bytes()[..400]);
    }
}

#[test]
fn mixes_parse_from_their_printed_form() {
    for mix in [Mix::Mixed, Mix::Short, Mix::Long, Mix::Fixed(Tokens(5))] {
        assert_eq!(mix.to_string().parse(), Ok(mix));
    }
    assert!("0".parse::<Mix>().is_err());
    assert!("medium".parse::<Mix>().is_err());
}
