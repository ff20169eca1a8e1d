//! Turns the state of a stream into the events its reader has not had yet.

use super::call::{Ending, ReaderId, StreamView};
use super::model::EngineModel;
use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::expected_token;
use bluebell_upstreams::{Event, EventBody};

/// One reader's place in a stream.
#[derive(Debug)]
pub struct Feed {
    request: RequestId,
    attempt: AttemptNo,
    reader: ReaderId,
    next: u64,
    accepted: bool,
    ended: bool,
}

/// Whether more can follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedState {
    /// Events may follow.
    Open,
    /// The last event is out.
    Ended,
    /// Another reader took the stream, or its record is gone: the connection breaks.
    Lost,
}

impl Feed {
    /// Begins to read at token event `from`.
    pub fn open(request: RequestId, attempt: AttemptNo, reader: ReaderId, from: u64) -> Self {
        Self {
            request,
            attempt,
            reader,
            next: from,
            accepted: false,
            ended: false,
        }
    }

    /// The request that is read.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// The attempt that is read.
    pub fn attempt(&self) -> AttemptNo {
        self.attempt
    }

    /// Ends the reader at the engine.
    pub fn close(&self, model: &mut EngineModel, now_us: u64) {
        model.detach(now_us, self.request, self.reader);
    }

    /// Adds the events that exist now and were not given yet.
    pub fn pull(&mut self, model: &EngineModel, out: &mut Vec<Event>) -> FeedState {
        if self.ended {
            return FeedState::Ended;
        }
        let Some(view) = model.view(self.request, self.reader) else {
            return FeedState::Lost;
        };
        if !self.accepted {
            self.accepted = true;
            let body = accepted(&view);
            self.give(body, out);
        }
        while self.next < view.produced {
            let text = expected_token(view.prompt_hash, self.next).into();
            let seq = EventSeq(self.next);
            self.give(EventBody::Token { seq, text }, out);
            self.next += 1;
        }
        let Some(ending) = view.ending else {
            return FeedState::Open;
        };
        self.ended = true;
        self.give(last(ending, model), out);
        FeedState::Ended
    }

    fn give(&self, body: EventBody, out: &mut Vec<Event>) {
        out.push(Event {
            request: self.request,
            attempt: self.attempt,
            body,
        });
    }
}

fn accepted(view: &StreamView) -> EventBody {
    EventBody::Accepted {
        prompt_tokens: view.prompt_tokens,
        cached_tokens: view.cached_tokens,
        load: view.load,
    }
}

fn last(ending: Ending, model: &EngineModel) -> EventBody {
    match ending {
        Ending::Finished(count, reason) => EventBody::Finished {
            count,
            reason,
            load: model.load_now(),
        },
        Ending::Failed(error) => EventBody::Failed { error },
    }
}
