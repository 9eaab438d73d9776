//! Answers that an upstream sends twice.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use trefoil_daemon::pool::{ATTEMPT_HEADER, AttemptNumber, Identity, Link, Pool};

/// Starts an upstream that answers each request, and sends the previous answer of the connection
/// once more before the next one. Returns the number of the attempt in its answers if `numbered`.
fn start_upstream(numbered: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut writer = stream.expect("a connection");
            let mut reader = BufReader::new(writer.try_clone().expect("cloned"));
            thread::spawn(move || {
                let (mut previous, mut number) = (String::new(), String::new());
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|count| count > 0) {
                    if let Some(value) = line.strip_prefix("trefoil-attempt: ") {
                        value.trim().clone_into(&mut number);
                    }
                    if line == "\r\n" {
                        let header = if numbered {
                            format!("Trefoil-Attempt: {number}\r\n")
                        } else {
                            String::new()
                        };
                        let length = number.len();
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\n{header}Content-Length: {length}\r\n\r\n{number}"
                        );
                        let both = format!("{previous}{answer}");
                        if writer.write_all(both.as_bytes()).is_err() {
                            return;
                        }
                        previous = answer;
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

/// Sends a request and returns whether its answer is taken for its own, with the body.
async fn exchange(link: &mut Link, number: AttemptNumber) -> (Identity, Bytes) {
    let request = Request::get("/offers/c-1")
        .header("host", "h")
        .header(ATTEMPT_HEADER, number.to_string())
        .body(trefoil_http::full(""));
    let response = link.connection.send(request.expect("a request")).await;
    let (parts, body) = response.expect("an answer").into_parts();
    let identity = link.identify(number, &parts.headers);
    let body = body.collect().await.expect("a whole body").to_bytes();
    (identity, body)
}

/// Guards against a caller that receives the answer to an earlier request, because the upstream has
/// sent that one again on a connection that was used again (P3).
#[test]
fn a_repeated_answer_is_not_taken_for_the_next_one() {
    smol::block_on(async {
        let pool = Pool::new(start_upstream(true), 1);
        let mut link = pool.take().await.expect("connected");
        let first = pool.next_attempt();
        let (identity, body) = exchange(&mut link, first).await;
        assert_eq!(identity, Identity::Proven);
        assert_eq!(body, first.to_string());
        pool.put_back(link);
        let mut link = pool.take().await.expect("connected");
        let second = pool.next_attempt();
        let (identity, body) = exchange(&mut link, second).await;
        assert_eq!(body, first.to_string(), "the upstream repeats its answer");
        assert_eq!(identity, Identity::Other);
    });
}

/// Guards against the same with an upstream whose answers cannot be told from each other.
#[test]
fn an_answer_without_a_number_is_accepted_on_a_new_connection_only() {
    smol::block_on(async {
        let pool = Pool::new(start_upstream(false), 1);
        let mut link = pool.take().await.expect("connected");
        let (identity, _) = exchange(&mut link, pool.next_attempt()).await;
        assert_eq!(identity, Identity::Assumed);
        let (identity, _) = exchange(&mut link, pool.next_attempt()).await;
        assert_eq!(identity, Identity::Other);
    });
}

/// Guards against an answer that an upstream gives several numbers, one of which may be right.
#[test]
fn an_answer_with_two_numbers_belongs_to_nobody() {
    smol::block_on(async {
        let pool = Pool::new(start_upstream(true), 1);
        let mut link = pool.take().await.expect("connected");
        let number = pool.next_attempt();
        let mut headers = HeaderMap::new();
        for number in [number, pool.next_attempt()] {
            let value = number.to_string().parse().expect("a value");
            headers.append(ATTEMPT_HEADER, value);
        }
        assert_eq!(link.identify(number, &headers), Identity::Other);
    });
}
