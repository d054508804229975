//! Keys of objects that have a meaning of their own in a request to the store.

use std::time::Duration;

use amaranthshunt_clients::StoreClient;
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::ObjectKey;
use amaranthshunt_support::{FakeStore, free_address};
use async_std::task;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(2);

// Guards against a write to another object than the one that was named.
#[parameterized(
    hash = { "#" },
    question = { "?" },
    percent = { "%" },
    escape = { "%62" },
    malformed_escape = { "%zz" },
    space = { " " },
    line_break = { "\r\n" },
    tab = { "\t" },
    backslash = { "\\" },
    ampersand = { "&" },
    plus = { "+" },
    letter_beyond_ascii = { "ü" },
)]
fn object_under_an_odd_key_is_written_and_listed_under_it(part: &str) {
    task::block_on(async {
        let store = FakeStore::start(free_address()).await.unwrap();
        let client = StoreClient::new(store.address(), TIMEOUT);
        let plain = ObjectKey("cfg/order/host/a".to_owned());
        let odd = ObjectKey(format!("cfg/order/host/a{part}b"));

        client.put(&odd, Revision(0), "1".into()).await.unwrap();
        let plain = client.get(&plain).await.unwrap();
        let read = client.get(&odd).await.unwrap();
        let listed = client.list(&odd.0).await.unwrap();

        assert_eq!(plain.value, None);
        assert_eq!(read.value.as_deref(), Some(&b"1"[..]));
        let keys: Vec<&ObjectKey> = listed.iter().map(|object| &object.key).collect();
        assert_eq!(keys, [&odd]);
    });
}
