//! The VMs as the store names them, and the key of the links between them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::vm::Vm;
use crate::platform::object::Object;
use crate::platform::objects::{Objects, Trouble};
use crate::unit::{DataCentre, Vm as Name};

/// The kind and name of the object that holds the key of the links between VMs. The deploy file
/// is public, so the first VM makes a key and all take it from there.
const KEYS: &str = "kitepulley-keys";
const LINKS: &str = "links";

/// The kind of the objects that name the VMs, their data centres and their addresses.
pub const VMS: &str = "kitepulley-vms";

/// Bytes of the key.
const KEY_BYTES: usize = 32;

/// Pause after the store did not answer.
const PAUSE: Duration = Duration::from_millis(500);

/// What the store says of a VM.
#[derive(Serialize, Deserialize)]
struct Entry {
    address: SocketAddr,
    data_centre: DataCentre,
}

/// The key of the links: made by whichever VM is first.
pub async fn shared_key(vm: &Vm, store: &mut Objects) -> String {
    loop {
        let made: [u8; KEY_BYTES] = rand::random();
        let text: String = made.iter().map(|byte| format!("{byte:02x}")).collect();
        let known = match store.get(KEYS, LINKS).await {
            Ok(None) => match store.create(KEYS, LINKS, json!({"key": text})).await {
                Err(Trouble::Conflict(Some(object))) => Ok(Some(*object)),
                created => created.map(Some),
            },
            known => known,
        };
        match known {
            Ok(Some(object)) => {
                if let Some(key) = object.spec["key"].as_str() {
                    return key.to_owned();
                }
            }
            Ok(None) => {}
            Err(trouble) => {
                let why = trouble.to_string();
                vm.log("key of the links not read", &[("why", why.as_str().into())]);
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Writes this VM's entry.
pub async fn register(vm: &Vm, store: &mut Objects, address: SocketAddr) {
    let name = vm.settings.vm.as_str();
    let entry = Entry { address, data_centre: vm.settings.data_centre.clone() };
    let entry = json!(entry);
    loop {
        let written = match store.create(VMS, name, entry.clone()).await {
            Err(Trouble::Conflict(Some(old))) if old.spec == entry => return,
            Err(Trouble::Conflict(Some(old))) => {
                store.replace(VMS, name, old.metadata.revision, entry.clone()).await
            }
            written => written,
        };
        match written {
            Ok(_) => return,
            Err(trouble) => {
                let why = trouble.to_string();
                vm.log("entry not written", &[("why", why.as_str().into())]);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Takes a VM that the store names.
pub fn take_entry(vm: &Vm, object: &Object) {
    let entry: Result<Entry, _> = serde_json::from_value(object.spec.clone());
    let (Ok(entry), Ok(name)) = (entry, object.metadata.name.parse::<Name>()) else {
        vm.log("entry of a VM not read", &[("name", object.metadata.name.as_str().into())]);
        return;
    };
    if name == vm.settings.vm {
        return;
    }
    vm.peers.borrow_mut().name(name, entry.address, entry.data_centre, vm.now());
}

/// The store no longer names a VM.
pub fn drop_entry(vm: &Vm, name: &str) {
    vm.peers.borrow_mut().keep(|known| known.as_str() != name, vm.now());
}
