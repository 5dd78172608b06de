//! Tests what a panic in the host ends.

mod common;

use common::{Scripted, TestHost, entry, header, sealed, status};

use aspenloft_gateway::roster::ServerRole::Plain;

/// A caller whose request made the host panic saw its connection close without an answer.
#[test]
fn a_panic_closes_the_connection_of_its_request() {
    let server = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    for path in ["/many/", "/once/"] {
        let send = |place: &str| {
            host.send(&format!(
                "GET {path} HTTP/1.1\r\nhost: app.test\r\nid: panic-{place}\r\npanic: {place}\r\n\r\n"
            ))
        };
        let sent = server.count();
        let unread = send("read");
        assert_eq!(status(&unread), "503", "{unread}");
        assert!(header(&unread, "retry-after").is_some(), "{unread}");
        assert_eq!(server.count(), sent, "a request that was refused ran");
        // Whether it has run is not known, so the caller is not told that it has not.
        let unsent = send("write");
        assert_eq!(status(&unsent), "502", "{unsent}");
        let unanswered = send("response");
        assert_eq!(status(&unanswered), "502", "{unanswered}");
        assert_eq!(server.count(), sent + 1);
        let sound = host.send(&format!("GET {path} HTTP/1.1\r\nhost: app.test\r\nid: a\r\n\r\n"));
        assert_eq!(status(&sound), "200", "{sound}");
        assert_eq!(host.ready_status(), "200");
    }
}
