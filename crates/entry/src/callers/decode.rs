//! Decodes completion calls. Fields that common clients send and that are unknown here are ignored.
//! A known field with a wrong value is refused, and the error names the field.

use crate::callers::route::Form;
use crate::http::head::invalid;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_requests::call::Completion;
use serde::Deserialize;

/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The values from the headers of a completion call.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallHeaders {
    /// The value of `X-Work-Class`.
    pub(crate) class: Option<String>,
    /// The value of `Idempotency-Key`.
    pub(crate) idempotency_key: Option<IdempotencyKey>,
}

/// A decoded completion call.
#[derive(Clone, Debug)]
pub(crate) struct Decoded {
    /// The requested completion.
    pub(crate) completion: Completion,
    /// True if the answer is to be streamed.
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
struct CallBody {
    model: Option<String>,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: Option<bool>,
    class: Option<String>,
    deadline_ms: Option<u64>,
    n: Option<u64>,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "prompt: must be a text or a list of one text")]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(
    untagged,
    expecting = "messages: content must be a text or a list of parts"
)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
}

/// Decodes a completion call.
///
/// # Errors
/// `Invalid` with the field's name; `NotFound` for a model that the configuration doesn't contain.
pub(crate) fn completion(
    form: Form,
    body: &[u8],
    headers: CallHeaders,
    account: &AccountName,
    config: &FleetConfig,
) -> Result<Decoded, Error> {
    let text = std::str::from_utf8(body)
        .map_err(|error| invalid(format!("the body is not UTF-8: {error}")))?;
    let call: CallBody = serde_json::from_str(text)
        .map_err(|error| invalid(format!("the body is not a call: {error}")))?;
    if call.n.is_some_and(|n| n != 1) {
        return Err(invalid("n: only one answer to a call is given"));
    }
    let model = find_model(call.model, config)?;
    let class = find_class(call.class, headers.class, config)?;
    let max_tokens = call.max_completion_tokens.or(call.max_tokens);
    let max_tokens = answer_tokens(max_tokens, config)?;
    let prompt = match form {
        Form::Text => text_prompt(call.prompt)?,
        Form::Chat => chat_prompt(call.messages)?,
    };
    let deadline_ms = deadline(call.deadline_ms)?;
    let completion = Completion {
        account: account.clone(),
        model,
        class,
        prompt,
        max_tokens,
        deadline_ms,
        idempotency_key: headers.idempotency_key,
    };
    Ok(Decoded {
        completion,
        stream: call.stream.unwrap_or(false),
    })
}

/// Parses an `Idempotency-Key` header.
///
/// # Errors
/// `Invalid` if the value is empty, is longer than [`MAX_KEY_BYTES`] or contains control characters.
pub(crate) fn idempotency_key(value: &str) -> Result<IdempotencyKey, Error> {
    if value.len() > MAX_KEY_BYTES {
        let message = format!("Idempotency-Key is over {MAX_KEY_BYTES} bytes");
        return Err(invalid(message));
    }
    let parsed = value.parse();
    parsed.map_err(|_| invalid("Idempotency-Key is empty or has control characters"))
}

fn find_model(name: Option<String>, config: &FleetConfig) -> Result<ModelName, Error> {
    let name = name.ok_or_else(|| invalid("model: is missing"))?;
    let known = config.models.iter().find(|m| m.name.as_str() == name);
    let known = known.ok_or_else(|| {
        let message = format!("model: there is no model {:?}", shorten(&name));
        Error::not_run(ErrorKind::NotFound, message)
    })?;
    Ok(known.name.clone())
}

fn find_class(
    field: Option<String>,
    header: Option<String>,
    config: &FleetConfig,
) -> Result<ClassName, Error> {
    if let (Some(field), Some(header)) = (&field, &header)
        && field != header
    {
        return Err(invalid("class: differs from the header X-Work-Class"));
    }
    let Some(name) = field.or(header) else {
        return single_class(config);
    };
    let known = config.classes.iter().find(|c| c.name.as_str() == name);
    let known =
        known.ok_or_else(|| invalid(format!("class: there is no class {:?}", shorten(&name))))?;
    Ok(known.name.clone())
}

fn single_class(config: &FleetConfig) -> Result<ClassName, Error> {
    match config.classes.as_slice() {
        [only] => Ok(only.name.clone()),
        _ => Err(invalid(
            "class: is missing; name the class of work in the field or the header X-Work-Class",
        )),
    }
}

fn answer_tokens(wanted: Option<u64>, config: &FleetConfig) -> Result<Tokens, Error> {
    let limit = config.limits.answer_tokens;
    match wanted.map(Tokens) {
        None => Ok(limit),
        Some(Tokens(0)) => Err(invalid("max_tokens: must be at least 1")),
        Some(tokens) if tokens > limit => {
            Err(invalid(format!("max_tokens: is over the limit of {limit}")))
        }
        Some(tokens) => Ok(tokens),
    }
}

fn deadline(deadline_ms: Option<u64>) -> Result<Option<SpanMs>, Error> {
    if deadline_ms == Some(0) {
        return Err(invalid("deadline_ms: must be at least 1"));
    }
    Ok(deadline_ms.map(SpanMs))
}

fn text_prompt(prompt: Option<Prompt>) -> Result<Arc<str>, Error> {
    let prompt = prompt.ok_or_else(|| invalid("prompt: is missing"))?;
    let text = match prompt {
        Prompt::One(text) => text,
        Prompt::Many(mut texts) if texts.len() == 1 => texts.remove(0),
        Prompt::Many(_) => return Err(invalid("prompt: a list must have exactly one text")),
    };
    if text.is_empty() {
        return Err(invalid("prompt: is empty"));
    }
    Ok(text.into())
}

/// Joins the messages to one text, each as `role: text` followed by an empty line.
fn chat_prompt(messages: Option<Vec<Message>>) -> Result<Arc<str>, Error> {
    let messages = messages.ok_or_else(|| invalid("messages: is missing"))?;
    if messages.is_empty() {
        return Err(invalid("messages: is empty"));
    }
    let mut joined = String::new();
    for (i, message) in messages.iter().enumerate() {
        joined.push_str(&message.role);
        joined.push_str(": ");
        match &message.content {
            None => (),
            Some(Content::Text(text)) => joined.push_str(text),
            Some(Content::Parts(parts)) => push_parts(&mut joined, i, parts)?,
        }
        joined.push_str("\n\n");
    }
    Ok(joined.into())
}

fn push_parts(joined: &mut String, i: usize, parts: &[Part]) -> Result<(), Error> {
    for (j, part) in parts.iter().enumerate() {
        let text = part.text.as_deref().filter(|_| part.kind == "text");
        let path = format!("messages[{i}].content[{j}]");
        let text =
            text.ok_or_else(|| invalid(format!("{path}: only parts of type text are read")))?;
        joined.push_str(text);
    }
    Ok(())
}

/// Shortens a name from a caller for use in messages.
fn shorten(name: &str) -> String {
    const KEPT_CHARS: usize = 80;
    name.chars().take(KEPT_CHARS).collect()
}
