//! The headers that nodes add to a forwarded request and to its answer.

use bluebell_base::prelude::*;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use std::fmt;
use std::str::FromStr;

/// The header that marks a forwarded request.
const FORWARDED: HeaderName = HeaderName::from_static("bluebell-forwarded");

/// The header with the id of the last event that the caller has received.
const LAST_EVENT: HeaderName = HeaderName::from_static("bluebell-last-event");

/// The header of the answer to a forwarded request.
const OUTCOME: HeaderName = HeaderName::from_static("bluebell-outcome");

/// The state of a request at the node that forwards it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopHead {
    /// The time left until the request's deadline.
    pub left_ms: SpanMs,
    /// The time since the request arrived at its first node.
    pub age_ms: SpanMs,
    /// The number of attempts at replicas that the peer may make.
    pub max_attempts: u32,
    /// The version of the configuration by which the request was admitted.
    pub version: ConfigVersion,
    /// The part of the answer that the caller has, or `None` if it has none.
    pub resume: Option<ResumePoint>,
}

/// The end of the part of a stream that the caller has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// The id of the last event, or `None` if no event had one.
    pub last_event: Option<Arc<str>>,
}

/// An error of a hop header that can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the head of a forwarded request can't be read")]
pub struct HopHeadError;

impl HopHead {
    /// Takes the head from the headers of a request, and leaves those of the caller. Returns `None` if
    /// the request isn't forwarded.
    ///
    /// # Errors
    /// [`HopHeadError`] if the head can't be parsed.
    pub fn take(headers: &mut HeaderMap) -> Result<Option<Self>, HopHeadError> {
        let Some(value) = headers.remove(FORWARDED) else {
            return Ok(None);
        };
        let last_event = headers.remove(LAST_EVENT);
        let last_event = last_event.as_ref().map(HeaderValue::to_str).transpose();
        let mut head: Self = value.to_str().map_err(|_| HopHeadError)?.parse()?;
        if let Some(resume) = &mut head.resume {
            resume.last_event = last_event.map_err(|_| HopHeadError)?.map(Into::into);
        }
        Ok(Some(head))
    }

    /// Adds the head to the headers of a request.
    ///
    /// # Errors
    /// [`HopHeadError`] if the id of the last event isn't valid in a header.
    pub fn put(&self, headers: &mut HeaderMap) -> Result<(), HopHeadError> {
        let value = HeaderValue::from_str(&self.to_string()).map_err(|_| HopHeadError)?;
        headers.insert(FORWARDED, value);
        headers.remove(LAST_EVENT);
        let resume = self.resume.as_ref();
        if let Some(id) = resume.and_then(|resume| resume.last_event.as_ref()) {
            let value = HeaderValue::from_str(id).map_err(|_| HopHeadError)?;
            headers.insert(LAST_EVENT, value);
        }
        Ok(())
    }
}

impl fmt::Display for HopHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            left_ms,
            age_ms,
            max_attempts,
            version,
            resume,
        } = self;
        let resumes = u8::from(resume.is_some());
        write!(
            f,
            "{} {} {max_attempts} {} {resumes}",
            left_ms.0, age_ms.0, version.0
        )
    }
}

impl FromStr for HopHead {
    type Err = HopHeadError;

    fn from_str(text: &str) -> Result<Self, HopHeadError> {
        let mut numbers = text.split(' ').map(|number| number.parse::<u64>().ok());
        let mut next = || numbers.next().flatten().ok_or(HopHeadError);
        let head = Self {
            left_ms: SpanMs(next()?),
            age_ms: SpanMs(next()?),
            max_attempts: u32::try_from(next()?).map_err(|_| HopHeadError)?,
            version: ConfigVersion(next()?),
            resume: match next()? {
                0 => None,
                _ => Some(ResumePoint { last_event: None }),
            },
        };
        match numbers.next() {
            None => Ok(head),
            Some(_) => Err(HopHeadError),
        }
    }
}

/// The source and the meaning of a node's answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A replica's own answer, after this number of attempts whose replica received the request.
    Replica {
        /// The number of attempts.
        attempts: u32,
    },
    /// The node's own answer, with its verdict about the request.
    Node(Verdict),
    /// The node can't serve the request, which has not run; another node may.
    Unavailable,
}

impl Outcome {
    /// Takes the outcome from the headers of an answer. Returns `None` if there is none.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        headers.remove(OUTCOME)?.to_str().ok()?.parse().ok()
    }

    /// Adds the outcome to the headers of an answer.
    pub fn put(self, headers: &mut HeaderMap) {
        let value = HeaderValue::from_str(&self.to_string());
        headers.insert(OUTCOME, value.expect("the text is valid in a header"));
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Replica { attempts } => write!(f, "replica {attempts}"),
            Self::Node(verdict) => write!(f, "node {}", verdict.as_str()),
            Self::Unavailable => f.write_str("unavailable"),
        }
    }
}

impl FromStr for Outcome {
    type Err = HopHeadError;

    fn from_str(text: &str) -> Result<Self, HopHeadError> {
        let verdicts = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
        match text.split_once(' ') {
            Some(("replica", attempts)) => {
                let attempts = attempts.parse().map_err(|_| HopHeadError)?;
                Ok(Self::Replica { attempts })
            }
            Some(("node", verdict)) => {
                let verdict = verdicts.into_iter().find(|v| v.as_str() == verdict);
                verdict.map(Self::Node).ok_or(HopHeadError)
            }
            None if text == "unavailable" => Ok(Self::Unavailable),
            _ => Err(HopHeadError),
        }
    }
}
