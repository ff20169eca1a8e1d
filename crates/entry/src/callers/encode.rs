//! Encodes answers to callers as the JSON that common clients read.

use crate::callers::route::Form;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_peers::{RequestReport, RequestState};
use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};

/// The properties that all pieces of one answer share.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    /// The requested form.
    pub(crate) form: Form,
    /// The model, if it is known.
    pub(crate) model: Option<ModelName>,
    /// The time when the answer was begun, in seconds since 1970. It is only sent to callers.
    pub(crate) created_secs: u64,
}

impl Subject {
    /// Returns the subject of an answer that begins now.
    pub(crate) fn beginning_now(form: Form, model: Option<ModelName>) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            form,
            model,
            created_secs: since.map_or(0, |span| span.as_secs()),
        }
    }
}

/// The end of an answer.
#[derive(Clone, Debug)]
pub(crate) struct End {
    /// The finish reason: `stop` or `length`.
    pub(crate) reason: Arc<str>,
    /// The length of the prompt.
    pub(crate) prompt_tokens: Tokens,
    /// The length of the answer.
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
    /// Returns the body of a whole answer.
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

    /// Returns the body of one piece of a streamed answer.
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

    /// Returns the body of the last event of a streamed answer.
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

/// The report on a request that its caller receives. It doesn't name upstreams.
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

/// The list of the models that callers can request.
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
