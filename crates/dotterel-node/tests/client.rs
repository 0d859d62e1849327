//! The HTTP client on connections that fall silent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dotterel_kernel::Millis;
use dotterel_node::http::client::{Call, Connection};
use dotterel_node::http::{CallError, Client};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Replies to each request after a moment, unless the connection is numbered below `silent_below`.
async fn serve(mut stream: TcpStream, number: u32, silent_below: Rc<Cell<u32>>) {
    let mut buffer = [0; 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {
        if number < silent_below.get() {
            continue;
        }
        sleep(Duration::from_millis(30)).await;
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(reply).await.is_err() {
            return;
        }
    }
}

fn get(address: &str) -> Call<'_> {
    Call {
        address,
        method: Method::GET,
        path: "/",
        header: None,
        body: Vec::new(),
        timeout: Millis(200),
    }
}

#[test]
fn a_timeout_drops_all_idle_connections_to_the_address() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("it has an address")
            .to_string();
        let silent_below = Rc::new(Cell::new(0));
        let silence = Rc::clone(&silent_below);
        tokio::task::spawn_local(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.expect("it listens");
                tokio::task::spawn_local(serve(stream, number, Rc::clone(&silence)));
            }
        });
        let client = Client::default();
        let (first, second) =
            futures_util::future::join(client.call(get(&address)), client.call(get(&address)))
                .await;
        assert!(first.is_ok() && second.is_ok(), "two connections are open");
        silent_below.set(2);

        let lost = client.call(get(&address)).await;
        let next = client.call(get(&address)).await;

        assert_eq!(lost.err(), Some(CallError::NoResponse));
        assert!(next.is_ok(), "the other silent connection is not used");
    });
}

/// Guards against a request that reaches a server without the header that limits it to another.
#[test]
fn a_request_whose_header_cannot_be_sent_is_not_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("it has an address")
            .to_string();
        tokio::task::spawn_local(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.expect("it listens");
                tokio::task::spawn_local(serve(stream, number, Rc::default()));
            }
        });
        let call = || Call {
            header: Some(("X-Target", "i\n1")),
            ..get(&address)
        };
        let mut connection = Connection::open(&address)
            .await
            .expect("the server listens");

        let pooled = Client::default().call(call()).await;
        let alone = connection.call(call()).await;

        assert_eq!(pooled.err(), Some(CallError::NotSent));
        assert_eq!(alone.err(), Some(CallError::NotSent));
    });
}
