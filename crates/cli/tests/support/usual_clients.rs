//! Clients that send one small read after the other beside a disturbance, and check the time of each answer.

use super::http_client::HttpClient;
use super::http_message::request_bytes;
use super::test_cluster::TestCluster;
use std::time::{Duration, Instant};

/// Time after its client timeout by which a request must have its final answer, with the tolerance on sockets.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// Time of an exchange with the node itself from which the machine is too busy for a verdict.
const BUSY_MACHINE: Duration = Duration::from_millis(200);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Answers to usual clients.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsualAnswers {
    pub requests: usize,
    pub served: usize,
    /// Requests whose answer came too late or not at all, with the time that it took.
    pub late: Vec<(String, Duration)>,
    pub longest: Duration,
    /// Requests without a verdict, because the node itself answered late.
    pub undecided: usize,
}

impl UsualAnswers {
    fn add(&mut self, other: UsualAnswers) {
        self.requests += other.requests;
        self.served += other.served;
        self.late.extend(other.late);
        self.longest = self.longest.max(other.longest);
        self.undecided += other.undecided;
    }
}

/// Runs clients for a time, and returns their answers.
pub(crate) fn run_usual_clients(
    cluster: &TestCluster,
    name: &str,
    clients: usize,
    timeout_ms: u32,
    duration: Duration,
) -> UsualAnswers {
    let end = Instant::now() + duration;
    std::thread::scope(|scope| {
        let run = |client: usize| {
            scope.spawn(move || run_client(cluster, &format!("{name}-{client}"), timeout_ms, end))
        };
        let clients: Vec<_> = (0..clients).map(run).collect();
        clients.into_iter().fold(UsualAnswers::default(), |mut all, client| {
            all.add(client.join().unwrap());
            all
        })
    })
}

fn run_client(cluster: &TestCluster, name: &str, timeout_ms: u32, end: Instant) -> UsualAnswers {
    let mut answers = UsualAnswers::default();
    let mut client = cluster.client();
    let mut direct = HttpClient::connect(cluster.node_addresses[0]).unwrap();
    let due = Duration::from_millis(u64::from(timeout_ms)) + ANSWER_SLACK;
    while Instant::now() < end {
        let id = format!("{name}-{}", answers.requests);
        let request = request_bytes(&id, "read", 0, timeout_ms);
        let sent = Instant::now();
        client.send(&request);
        direct.request(&request_bytes(&format!("direct-{id}"), "read", 0, timeout_ms));
        let direct_took = sent.elapsed();
        let response = client.receive().or_else(|| {
            // A host may close an idle connection; a request that crosses the close is sent once more.
            client = cluster.client();
            client.request(&request)
        });
        let took = sent.elapsed();
        answers.requests += 1;
        answers.served += usize::from(response.as_ref().is_some_and(|response| response.status() == 200));
        answers.longest = answers.longest.max(took);
        if response.is_none() || took > due {
            match direct_took > BUSY_MACHINE {
                true => answers.undecided += 1,
                false => answers.late.push((id, took)),
            }
        }
        std::thread::sleep(PAUSE);
    }
    answers
}
