//! The JSON of answers to callers, in the form that usual clients read.

use crate::callers::route::Form;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_peers::{RequestReport, RequestState};
use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};

/// What all pieces of one answer have in common.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    /// The form asked for.
    pub(crate) form: Form,
    /// The model, where it is known.
    pub(crate) model: Option<ModelName>,
    /// When the answer was begun, in seconds since 1970; told to callers only.
    pub(crate) created_secs: u64,
}

impl Subject {
    /// The subject of an answer begun now.
    pub(crate) fn begun_now(form: Form, model: Option<ModelName>) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            form,
            model,
            created_secs: since.map_or(0, |span| span.as_secs()),
        }
    }
}

/// How an answer ended.
#[derive(Clone, Debug)]
pub(crate) struct End {
    /// `stop` or `length`.
    pub(crate) reason: Arc<str>,
    /// The prompt's length.
    pub(crate) prompt_tokens: Tokens,
    /// The answer's length.
    pub(crate) answer_tokens: Tokens,
}

/// An answer, or a piece of one.
#[derive(Debug, Serialize)]
pub(crate) struct AnswerBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Usage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    total_tokens: Tokens,
}

impl Usage {
    fn of(end: &End) -> Self {
        Self {
            prompt_tokens: end.prompt_tokens,
            completion_tokens: end.answer_tokens,
            total_tokens: end.prompt_tokens + end.answer_tokens,
        }
    }
}

impl<'a> AnswerBody<'a> {
    /// A whole answer.
    pub(crate) fn whole(
        subject: &'a Subject,
        request: &'a str,
        text: &'a str,
        end: &'a End,
    ) -> Self {
        let (object, text, message) = match subject.form {
            Form::Text => ("text_completion", Some(text), None),
            Form::Chat => {
                let message = Message {
                    role: "assistant",
                    content: text,
                };
                ("chat.completion", None, Some(message))
            }
        };
        let choice = Choice {
            index: 0,
            text,
            message,
            delta: None,
            finish_reason: Some(&end.reason),
        };
        Self::new(subject, request, object, choice, Some(Usage::of(end)))
    }

    /// One piece of a streamed answer.
    pub(crate) fn piece(subject: &'a Subject, request: &'a str, text: &'a str) -> Self {
        let choice = Self::piece_choice(subject.form, Some(text), None);
        Self::new(
            subject,
            request,
            Self::piece_object(subject.form),
            choice,
            None,
        )
    }

    /// The end of a streamed answer.
    pub(crate) fn last(subject: &'a Subject, request: &'a str, end: &'a End) -> Self {
        let choice = Self::piece_choice(subject.form, None, Some(&end.reason));
        let object = Self::piece_object(subject.form);
        Self::new(subject, request, object, choice, Some(Usage::of(end)))
    }

    fn piece_object(form: Form) -> &'static str {
        match form {
            Form::Text => "text_completion",
            Form::Chat => "chat.completion.chunk",
        }
    }

    fn piece_choice(form: Form, text: Option<&'a str>, reason: Option<&'a str>) -> Choice<'a> {
        let (text, delta) = match form {
            Form::Text => (Some(text.unwrap_or_default()), None),
            Form::Chat => (None, Some(Delta { content: text })),
        };
        Choice {
            index: 0,
            text,
            message: None,
            delta,
            finish_reason: reason,
        }
    }

    fn new(
        subject: &'a Subject,
        request: &'a str,
        object: &'static str,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Self {
        Self {
            id: request,
            object,
            created: subject.created_secs,
            model: subject.model.as_ref().map(ModelName::as_str),
            choices: [choice],
            usage,
        }
    }
}

/// What a caller is told of its request; names of upstreams stay inside.
#[derive(Debug, Serialize)]
pub(crate) struct ReportBody {
    request: RequestId,
    state: RequestState,
    verdict: Verdict,
    events: u64,
    attempts: u32,
}

impl From<&RequestReport> for ReportBody {
    fn from(report: &RequestReport) -> Self {
        Self {
            request: report.request,
            state: report.state,
            verdict: report.verdict,
            events: report.events,
            attempts: report.attempt.0,
        }
    }
}

/// The models that can be asked for.
#[derive(Debug, Serialize)]
pub(crate) struct ModelsBody<'a> {
    object: &'static str,
    data: Vec<ModelBody<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelBody<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

impl<'a> From<&'a FleetConfig> for ModelsBody<'a> {
    fn from(config: &'a FleetConfig) -> Self {
        let models = config.models.iter().map(|model| ModelBody {
            id: model.name.as_str(),
            object: "model",
            owned_by: "fleet",
        });
        Self {
            object: "list",
            data: models.collect(),
        }
    }
}
