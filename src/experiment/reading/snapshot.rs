//! Size of the snapshot that a VM receives after its start.

use crate::forward::kind::Kind;
use crate::forward::pack::Change;
use crate::forward::pack::Packed;

/// Backend servers in the snapshot.
const SERVERS: usize = 166;

/// Returns the encoded size of a snapshot of all servers and `vms` VMs, in bytes.
pub fn snapshot_bytes(vms: usize) -> u64 {
    let change = |kind, at: usize, text: String| Change {
        kind,
        name: format!("i-{:016x}", at * 0x9e37_79b9),
        object: Some(text),
        lapsed: false,
    };
    let server = |at: usize| {
        let text = format!(
            "{{\"metadata\":{{\"name\":\"i-{:016x}\",\"revision\":{at}}},\"spec\":{{\"service\":\"api\",\
             \"address\":\"10.0.{}.{}:8000\",\"zone\":\"a\",\"version\":\"v1\",\"capacity\":24,\
             \"state\":\"ready\",\"sequence\":1}}}}",
            at * 0x9e37_79b9,
            at / 250,
            at % 250
        );
        change(Kind::Servers, at, text)
    };
    let vm = |at: usize| {
        let text = format!(
            "{{\"metadata\":{{\"name\":\"vm{at:04}\",\"revision\":{at}}},\"spec\":{{\"address\":\
             \"10.1.{}.{}:7340\",\"data_centre\":\"a\",\"share\":120}}}}",
            at / 250,
            at % 250
        );
        change(Kind::Vms, at, text)
    };
    let all: Vec<Change> = (0..SERVERS).map(server).chain((0..vms).map(vm)).collect();
    Packed::new(&all).size() as u64
}
