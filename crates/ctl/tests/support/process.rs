//! One process of the project's own: started, signalled by its id, always ended.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::PATIENCE;

/// The last lines of a process's log that are kept.
const LOG_LINES: usize = 200;

/// The pause between two looks whether a process has ended.
const END_LOOK: Duration = Duration::from_millis(10);

type Log = Arc<Mutex<VecDeque<String>>>;

/// A running process; killed when dropped, and its log printed where the test failed.
pub struct Process {
    name: String,
    child: Child,
    log: Log,
    printed: Mutex<Receiver<String>>,
}

impl Process {
    /// Starts a program.
    pub fn start(name: &str, program: PathBuf, args: &[&str]) -> Self {
        let mut command = Command::new(&program);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .unwrap_or_else(|error| panic!("{name}: {}: {error}", program.display()));
        let (sender, printed) = channel();
        let stdout = child.stdout.take().expect("it is piped");
        let stderr = child.stderr.take().expect("it is piped");
        read_lines(stdout, move |line| {
            // Nobody waits for a line beyond the first.
            let _ = sender.send(line);
        });
        let log = Log::default();
        let kept = Arc::clone(&log);
        read_lines(stderr, move |line| keep(&kept, line));
        Self {
            name: name.into(),
            child,
            log,
            printed: Mutex::new(printed),
        }
    }

    /// The next line of JSON that it prints.
    pub fn next_line<T: DeserializeOwned>(&self) -> T {
        let printed = self.printed.lock().expect("no thread panics with it");
        let line = printed.recv_timeout(PATIENCE);
        let line = line.unwrap_or_else(|_| panic!("{} printed no line\n{}", self.name, self.log()));
        serde_json::from_str(&line).unwrap_or_else(|error| panic!("{}: {line}: {error}", self.name))
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).unwrap_or_else(|error| panic!("{}: {signal}: {error}", self.name));
    }

    /// Kills it at once and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait_end(PATIENCE);
    }

    /// Waits until it has ended.
    pub fn wait_end(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                return status;
            }
            let log = || self.log();
            assert!(
                Instant::now() < end,
                "{} has not ended in {limit:?}\n{}",
                self.name,
                log()
            );
            std::thread::sleep(END_LOOK);
        }
    }

    /// The last lines of its log.
    pub fn log(&self) -> String {
        let lines = self.log.lock().expect("no thread panics with it");
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        lines.join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- log of {} ---\n{}", self.name, self.log());
        }
        // One that has ended already can't be killed, which is as well.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_lines(from: impl Read + Send + 'static, mut take: impl FnMut(String) + Send + 'static) {
    std::thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            take(line);
        }
    });
}

fn keep(log: &Log, line: String) {
    let mut lines = log.lock().expect("no thread panics with it");
    if lines.len() == LOG_LINES {
        lines.pop_front();
    }
    lines.push_back(line);
}

/// The operators' program.
pub fn bluebellctl() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_bluebellctl"))
}

/// The node program, which lies beside the operators'.
///
/// It belongs to another package, for which cargo sets no variable here. `cargo test --workspace`
/// builds it, since that package has tests of its own that need it built; a test of this package
/// alone may meet none, or an old one, and must not pass on that.
pub fn bluebellpond() -> PathBuf {
    let program = bluebellctl().with_file_name("bluebellpond");
    let build = "run `cargo build --workspace --bins` or `cargo test --workspace`";
    let built = modified(&program);
    let built = built.unwrap_or_else(|| panic!("{} is missing: {build}", program.display()));
    let newer = sources(&program)
        .into_iter()
        .find(|source| modified(source) > Some(built));
    if let Some(source) = newer {
        let (program, source) = (program.display(), source.display());
        panic!("{program} is older than {source}: {build}");
    }
    program
}

fn modified(file: &PathBuf) -> Option<std::time::SystemTime> {
    std::fs::metadata(file).ok()?.modified().ok()
}

/// The source files of a program, from the list that cargo writes beside it.
fn sources(program: &std::path::Path) -> Vec<PathBuf> {
    let list = std::fs::read_to_string(program.with_extension("d")).unwrap_or_default();
    let (_, files) = list.split_once(": ").unwrap_or_default();
    files.split_whitespace().map(PathBuf::from).collect()
}
