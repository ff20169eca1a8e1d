//! The workload: arrivals with lengths, classes, accounts and shared prefixes, from a seed.
//!
//! Terms: *long work* is a prompt over [`LONG_TOKENS`]; a *document* is a prompt that an account
//! asks about again; the *share* of an account is its part of the arrivals.
//!
//! Invariants: the same mix and seed give the same requests; removing long work leaves the other
//! requests as they are.

mod fleets;

pub use fleets::{DOMAINS, FleetKind};

use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::{PrefixHash, mix};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The shortest prompt, in tokens.
pub const SHORTEST_TOKENS: u64 = 1_000;
/// Prompts under this are short work, in tokens.
pub const SHORT_TOKENS: u64 = 4_000;
/// Prompts over this are long work, in tokens.
pub const LONG_TOKENS: u64 = 32_000;
/// One prompt in fifty is longer than this, in tokens.
pub const RARE_TOKENS: u64 = 100_000;
/// The longest prompt: more than twice the memory of one engine, in tokens.
pub const LONGEST_TOKENS: u64 = 1_000_000;
/// The share of prompts over [`RARE_TOKENS`].
const RARE_SHARE: f64 = 0.02;
/// From this part of the arrivals on the last account offers more than its share.
const HOGS_FROM: f64 = 0.25;
/// The share of prompts that repeat a document of their account.
const REPEAT_SHARE: f64 = 0.2;
/// Documents remembered per account.
const DOCUMENTS: usize = 8;
/// The prompt beginning that all requests of an account and class share, in tokens.
const PREAMBLE_TOKENS: u64 = 512;
/// The grain of the prefix cache in the first block, doubled from block to block, in tokens.
const FIRST_BLOCK_TOKENS: u64 = 512;

/// The accounts: three large ones and seven small ones.
pub const ACCOUNT_SHARES: [f64; 10] = [0.22, 0.20, 0.18, 0.06, 0.06, 0.06, 0.06, 0.06, 0.05, 0.05];

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The arrival, in microseconds.
    pub at_us: u64,
    /// The client account.
    pub account: AccountId,
    /// Its class.
    pub class: ClassId,
    /// The prompt's length.
    pub prompt_tokens: Tokens,
    /// The maximum number of tokens of the answer.
    pub max_tokens: Tokens,
    /// The prompt's hash; decides the answer's length.
    pub prompt_hash: u64,
    /// The prompt's beginnings, by ascending length.
    pub prefixes: Vec<PrefixHash>,
    /// A number from which the node that gets it is drawn.
    pub node_draw: u64,
}

/// The arrivals of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// Arrivals a second over the whole fleet.
    pub rate: PerSecond,
    /// The time for which requests arrive.
    pub duration_ms: SpanMs,
    /// True if the mix includes long work.
    pub long_work: bool,
    /// The factor by which the last account exceeds its share from a quarter of the run on.
    pub hog_factor: f64,
    /// True if requests arrive in bursts.
    pub bursts: bool,
    /// The seed.
    pub seed: u64,
}

/// The mean length of a prompt, in tokens.
pub fn mean_prompt_tokens() -> f64 {
    let mean = |low: u64, high: u64| {
        let (low, high) = (low as f64, high as f64);
        (high - low) / (high / low).ln()
    };
    let usual = mean(SHORTEST_TOKENS, RARE_TOKENS);
    let rare = mean(RARE_TOKENS, LONGEST_TOKENS);
    usual * (1.0 - RARE_SHARE) + rare * RARE_SHARE
}

/// Draws the requests of a mix.
pub fn generate(mix: &Mix) -> Vec<Request> {
    let mut requests = Vec::new();
    for (account, share) in ACCOUNT_SHARES.iter().enumerate() {
        let last = account + 1 == ACCOUNT_SHARES.len();
        let rate = mix.rate.0 * share;
        // Each account has randomness of its own, so that one offering more changes no other.
        let seed = self::mix(mix.seed, account as u64);
        let mut source = Source::new(AccountId(account as u32), seed);
        source.draw(rate, last, mix, &mut requests);
    }
    requests.sort_by_key(|request| (request.at_us, request.account));
    if !mix.long_work {
        requests.retain(|request| request.prompt_tokens.0 <= LONG_TOKENS);
    }
    requests
}

/// The class of a prompt of that length.
pub fn class_of(prompt_tokens: u64) -> ClassId {
    match prompt_tokens {
        0..SHORT_TOKENS => ClassId(0),
        SHORT_TOKENS..=RARE_TOKENS => ClassId(1),
        _ => ClassId(2),
    }
}

/// The arrivals of one account.
struct Source {
    account: AccountId,
    rng: ChaCha8Rng,
    documents: Vec<(u64, u64)>,
    drawn: u64,
}

impl Source {
    fn new(account: AccountId, seed: u64) -> Self {
        Self {
            account,
            rng: ChaCha8Rng::seed_from_u64(seed),
            documents: Vec::new(),
            drawn: 0,
        }
    }

    fn draw(&mut self, rate_per_s: f64, last: bool, mix: &Mix, out: &mut Vec<Request>) {
        let end_us = mix.duration_ms.0 * 1_000;
        let mut at_us = 0;
        loop {
            let hogs = last && at_us as f64 >= end_us as f64 * HOGS_FROM;
            let factor = if hogs { mix.hog_factor } else { 1.0 };
            let now_rate = rate_per_s * factor * burst_factor(mix.bursts, at_us);
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at_us += (-uniform.ln() / now_rate * 1e6) as u64 + 1;
            if at_us >= end_us {
                return;
            }
            let request = self.request(at_us);
            out.push(request);
        }
    }

    fn request(&mut self, at_us: u64) -> Request {
        self.drawn += 1;
        let (prompt_tokens, document) = self.document();
        let class = class_of(prompt_tokens);
        Request {
            at_us,
            account: self.account,
            class,
            prompt_tokens: Tokens(prompt_tokens),
            max_tokens: Tokens([300, 500, 800][class.index()]),
            prompt_hash: mix(document, self.drawn),
            prefixes: self.prefixes(class, prompt_tokens, document),
            node_draw: self.rng.random(),
        }
    }

    /// A length and the hash of the text: a new one, or one asked about before.
    fn document(&mut self) -> (u64, u64) {
        let again = self.rng.random_bool(REPEAT_SHARE);
        let which = self.rng.random_range(0..DOCUMENTS);
        let length = self.length();
        let text: u64 = self.rng.random();
        if again && which < self.documents.len() {
            return self.documents[which];
        }
        if self.documents.len() == DOCUMENTS {
            self.documents.remove(0);
        }
        self.documents.push((length, text));
        (length, text)
    }

    fn length(&mut self) -> u64 {
        let rare = self.rng.random_bool(RARE_SHARE);
        let (low, high) = if rare {
            (RARE_TOKENS, LONGEST_TOKENS)
        } else {
            (SHORTEST_TOKENS, RARE_TOKENS)
        };
        let uniform: f64 = self.rng.random();
        let (low, high) = (low as f64, high as f64);
        (low * (high / low).powf(uniform)) as u64
    }

    /// The prompt's beginnings: first what the account's requests of the class share, then the
    /// document, in blocks of doubling length to keep the lists short.
    fn prefixes(&self, class: ClassId, prompt_tokens: u64, document: u64) -> Vec<PrefixHash> {
        let preamble = mix(u64::from(self.account.0) + 1, u64::from(class.0));
        let mut prefixes = vec![PrefixHash {
            hash: preamble,
            tokens: Tokens(PREAMBLE_TOKENS),
        }];
        let mut tokens = PREAMBLE_TOKENS;
        let mut block = FIRST_BLOCK_TOKENS;
        while tokens + block <= prompt_tokens {
            tokens += block;
            block *= 2;
            prefixes.push(PrefixHash {
                hash: mix(document, tokens),
                tokens: Tokens(tokens),
            });
        }
        prefixes
    }
}

/// Bursts: in two of each ten seconds three times the usual arrivals, half of them in the rest.
fn burst_factor(bursts: bool, at_us: u64) -> f64 {
    if !bursts {
        return 1.0;
    }
    let second = at_us / 1_000_000 % 10;
    if second < 2 { 3.0 } else { 0.5 }
}
