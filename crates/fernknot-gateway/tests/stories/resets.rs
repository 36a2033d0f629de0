//! Answers of nodes whose connections are reset.

use super::{Story, answer, plan, request};
use fernknot::interface::Nanos;
use fernknot_schema::ClientLimits;
use test_case::test_case;

const HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nAnswer-Seal: s-a\r\n";

fn got_after(text: &str) -> (Story, String) {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    let client = story.client();
    story.comes(client, &request("a", 500));
    let (line, _) = story.line_opens();
    story.comes_and_resets(line, text);
    story.waits(Nanos(600_000_000));
    let got = story.got(client);
    (story, got)
}

#[test_case("Content-Length: 2\r\n\r\nok"; "by its length")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"; "by its chunks")]
#[test_case("Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"; "with bytes behind it that are nobody's")]
fn given_an_answer_that_is_whole_when_a_reset_is_told_with_it_then_the_client_gets_it(rest: &str) {
    let (mut story, got) = got_after(&format!("{HEAD}{rest}"));
    assert!(got.starts_with("HTTP/1.1 200 OK\r\n") && got.ends_with("\r\n\r\nok"), "{got}");
    // The connection is not used again.
    let begun = story.lines.len();
    let client = story.client();
    story.comes(client, &request("b", 500));
    assert_eq!(story.lines.len(), begun + 1);
}

#[test_case("Content-Length: 3\r\n\r\nok"; "by its length")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"; "by its chunks")]
#[test_case("\r\nok"; "whose end no head tells")]
#[test_case("Content-Le"; "amid its head")]
fn given_an_answer_that_is_not_whole_when_a_reset_is_told_with_it_then_it_counts_as_broken(rest: &str) {
    let (_, got) = got_after(&format!("{HEAD}{rest}"));
    assert!(got.starts_with("HTTP/1.1 502 "), "{got}");
}

#[test]
fn given_an_answer_in_two_pieces_when_a_reset_is_told_with_the_second_then_the_client_gets_it() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    let client = story.client();
    story.comes(client, &request("a", 500));
    let (line, _) = story.line_opens();
    let whole = answer("a");
    let (first, second) = whole.split_at(whole.len() - 1);
    story.comes(line, first);
    story.comes_and_resets(line, second);
    assert!(story.got(client).ends_with("\r\n\r\nok"));
}
