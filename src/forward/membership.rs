//! Registration of the VMs in the store, and the shared key that protects the links between them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::rt::spawn;
use serde_json::{Value, json};

use super::apply::{self, Source};
use super::backoff::Backoff;
use super::kind::{Kind, VMS};
use super::peer::PeerInfo;
use super::role::Role;
use super::vm::Vm;
use crate::platform::client::{Client, Consistency, StoreError};
use crate::platform::object::Object;
use crate::unit::{Era, Span, Vm as Name};

/// Kind of the object in the store that holds the shared key of the links between VMs. The deploy
/// file is public, so the key can't be in it: the first VM creates it, and all others read it from
/// the store.
const KEY_KIND: &str = "kitepulley-keys";
/// Name of the object that holds the shared key of the links.
const LINK_KEY: &str = "links";

/// Length of the key in bytes.
const KEY_BYTES: usize = 32;

/// Longest time that a VM which has just started waits for the key of the links, if the store
/// answers, before it reads the store without knowing the other VMs.
const KEY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time that a VM which has just started waits for its registration.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest delay after a failed call to the store.
const MAX_BACKOFF: Span = Span::millis(1000);

/// Delay after which a VM that has just registered lists the VMs again, to find those that start at
/// the same time.
const RELIST_INTERVAL: Duration = Duration::from_millis(500);

/// Number of repeated lists that are stale reads: they may be some seconds old, and cost a tenth of
/// a linearizable read.
const STALE_RELISTS: u32 = 4;

/// Returns the shared key of the links between VMs, which the first VM creates. The key never
/// changes, so a stale read is as good as a linearizable one. Retries until the store has a key.
pub async fn shared_key(vm: &Rc<Vm>, store: &mut Client) -> String {
    let key_read = Rc::new(Cell::new(false));
    spawn(read_without_key(vm.clone(), key_read.clone()));
    let mut backoff = Backoff::default();
    loop {
        match get_or_create_key(vm, store).await {
            Ok(Some(object)) => match decode_key(&object) {
                Some(key) => {
                    key_read.set(true);
                    return key;
                }
                None => replace_invalid_key(vm, store, &object).await,
            },
            Ok(None) => {}
            Err(error) => {
                let why = error.to_string();
                vm.log("key of the links not read", &[("why", why.as_str().into())]);
            }
        }
        tokio::time::sleep(backoff.next_delay(MAX_BACKOFF).duration()).await;
    }
}

/// Makes this VM read the store itself if it has no key of the links in time, although the store
/// answers. It needs no links to serve.
async fn read_without_key(vm: Rc<Vm>, key_read: Rc<Cell<bool>>) {
    tokio::time::sleep(KEY_TIMEOUT).await;
    while !key_read.get() && *vm.role.borrow() == Role::Joins {
        if vm.store_has_answered.get() {
            vm.log("reads the store without links", &[]);
            vm.proof_requested.notify_one();
            vm.role.send_replace(Role::Reads);
        }
        tokio::time::sleep(RELIST_INTERVAL).await;
    }
}

/// Returns the key that an object of the store holds; `None` if it is not one that VMs make.
fn decode_key(object: &Object) -> Option<String> {
    let key = object.spec["key"].as_str()?;
    let is_valid = key.len() == 2 * KEY_BYTES && key.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_valid.then(|| key.to_owned())
}

/// Replaces an object without a valid key, which another writer has changed, by one with a new key,
/// unless another VM does so first.
async fn replace_invalid_key(vm: &Vm, store: &mut Client, object: &Object) {
    let position = object.metadata.position;
    let revision = ("revision", position.revision.into());
    vm.log("invalid key of the links replaced", &[revision]);
    let spec = json!({"key": random_key()});
    let written = store.replace(KEY_KIND, LINK_KEY, position, spec).await;
    vm.count_store_call("key-replace", &written);
}

fn random_key() -> String {
    let made: [u8; KEY_BYTES] = rand::random();
    made.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the object with the key, and creates it if the store has none.
async fn get_or_create_key(vm: &Vm, store: &mut Client) -> Result<Option<Object>, StoreError> {
    let known = store.get(KEY_KIND, LINK_KEY, Consistency::Stale).await;
    vm.count_store_call("key-stale", &known);
    if let Some(object) = known? {
        return Ok(Some(object));
    }
    let created = store.create(KEY_KIND, LINK_KEY, json!({"key": random_key()})).await;
    vm.count_store_call("key-create", &created);
    match created {
        Err(StoreError::Conflict(object)) => Ok(object.map(|object| *object)),
        created => created.map(Some),
    }
}

/// Checks that the store answers, by a small stale read.
///
/// # Errors
/// If the store refuses or does not answer.
pub async fn probe(store: &mut Client) -> Result<(), StoreError> {
    match store.get(KEY_KIND, LINK_KEY, Consistency::Stale).await {
        // A stale read may be of an older era too; the store is up all the same.
        Ok(_) | Err(StoreError::StaleEra) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Learns which VMs are registered in the store, and registers this one.
///
/// A VM that finds its own entry in the first list is done: it was registered before. A new VM must
/// also learn of the VMs that start at the same time. If another VM of its group has a better rank,
/// this VM will poll that one and learns of them by its updates, or by [`relist_until_following`].
/// Otherwise it repeats stale lists until one has its own entry, and thus is from after the
/// registration; if none has, a linearizable list follows, which is the newest. A registration that
/// takes long goes on in the background.
pub async fn join(vm: &Rc<Vm>, store: &mut Client, address: SocketAddr) {
    let entry = PeerInfo::of(&vm.settings, address);
    if list_and_check_own_entry(vm, store, &entry, Consistency::Stale).await {
        return;
    }
    let registration = spawn(register_in_background(vm.clone(), json!(entry)));
    if tokio::time::timeout(REGISTRATION_TIMEOUT, registration).await.is_err() {
        vm.log("goes on without registration", &[]);
        return;
    }
    if has_better_ranked_peer(vm) {
        spawn(relist_until_following(vm.clone(), entry));
        return;
    }
    for _ in 0..STALE_RELISTS {
        tokio::time::sleep(RELIST_INTERVAL).await;
        if list_and_check_own_entry(vm, store, &entry, Consistency::Stale).await {
            return;
        }
    }
    list_and_check_own_entry(vm, store, &entry, Consistency::Strong).await;
}

/// Repeats stale lists of the VMs while this VM has no update yet, until one list is from after the
/// registration. A VM that knows only one of the VMs that rank before it, of those that start at the
/// same time, would read the store itself if that one is slow to answer.
async fn relist_until_following(vm: Rc<Vm>, entry: PeerInfo) {
    let mut store = vm.store_client();
    for _ in 0..STALE_RELISTS {
        tokio::time::sleep(RELIST_INTERVAL).await;
        let is_done = *vm.role.borrow() != Role::Joins
            || list_and_check_own_entry(&vm, &mut store, &entry, Consistency::Stale).await;
        if is_done {
            return;
        }
    }
}

/// After a restore of the store, writes this VM's entry and the shared key again if the backup
/// lacks them or has an earlier entry. Returns the era in which the store has both, or `None` if
/// the caller must retry.
pub async fn reregister(
    vm: &Vm,
    store: &mut Client,
    address: SocketAddr,
    key: &str,
) -> Option<Era> {
    let era = vm.era.newest();
    let read = vm.feed.borrow().freshness(Kind::Vms)?;
    if read.position.era < era {
        return None;
    }
    if vm.is_reader() && !restore_key(vm, store, key).await {
        return None;
    }
    register_if_missing(vm, store, address, "VM registered again after a restore").await;
    Some(era)
}

/// Writes this VM's entry again after it was removed from the store, as other VMs do if they have
/// not heard from this one for long.
pub async fn register_after_removal(vm: &Vm, store: &mut Client, address: SocketAddr) {
    register_if_missing(vm, store, address, "VM registered again after a removal").await;
}

/// Writes this VM's entry and logs `event`, unless the newest known state of the store has the
/// entry.
async fn register_if_missing(vm: &Vm, store: &mut Client, address: SocketAddr, event: &str) {
    let era = vm.era.newest();
    let entry = PeerInfo::of(&vm.settings, address);
    if has_entry_in(vm, era, &entry) {
        vm.log("VM is still registered", &[("era", era.0.into())]);
    } else {
        vm.log(event, &[("era", era.0.into())]);
        register(vm, store, &json!(entry)).await;
    }
}

/// Returns true if the store has this entry of this VM in its era `era`, as far as known.
fn has_entry_in(vm: &Vm, era: Era, entry: &PeerInfo) -> bool {
    let own = vm.feed.borrow().get(Kind::Vms, vm.settings.vm.as_str());
    own.is_some_and(|own| own.metadata.position.era == era && describes(&own, entry))
}

/// Returns true if an object of the store has this entry as its content.
fn describes(object: &Object, entry: &PeerInfo) -> bool {
    serde_json::from_value(object.spec.clone()).ok().as_ref() == Some(entry)
}

/// Writes the key of the links unless the store has one. Returns false if the store did not answer.
async fn restore_key(vm: &Vm, store: &mut Client, key: &str) -> bool {
    let created = store.create(KEY_KIND, LINK_KEY, json!({"key": key})).await;
    vm.count_store_call("key-create", &created);
    match created {
        Ok(_) => vm.log("key of the links written again after a restore", &[]),
        Err(StoreError::Conflict(Some(object))) if object.spec["key"] == key => {}
        Err(StoreError::Conflict(_)) => vm.log("the store has a different key of the links", &[]),
        Err(error) => {
            let why = error.to_string();
            vm.log("key of the links not written", &[("why", why.as_str().into())]);
            return false;
        }
    }
    true
}

/// Lists and applies the VMs that are registered. Returns true if the list has this VM's own entry
/// with the same content as `entry`: the list is from after the registration, and the VM need not
/// be registered. Returns false if the list has no such entry or failed.
async fn list_and_check_own_entry(
    vm: &Vm,
    store: &mut Client,
    entry: &PeerInfo,
    read: Consistency,
) -> bool {
    let call = if read == Consistency::Strong { "list-vms" } else { "list-vms-stale" };
    let listed = store.list(VMS, read).await;
    vm.count_store_call(call, &listed);
    match listed {
        Ok(listing) => {
            let source = Source { reader: None, as_of: listing.position() };
            apply::apply_list(vm, Kind::Vms, &listing.items, &source);
            let own = |one: &&Object| one.metadata.name == vm.settings.vm.as_str();
            listing.items.iter().find(own).is_some_and(|own| describes(own, entry))
        }
        Err(error) => {
            let why = error.to_string();
            vm.log("list of VMs failed", &[("why", why.as_str().into())]);
            false
        }
    }
}

/// Returns true if a known VM of this VM's group ranks before this one, so that this VM polls that
/// one for updates.
fn has_better_ranked_peer(vm: &Vm) -> bool {
    let (group, _) = vm.peers.borrow().groups(&vm.settings.data_centre);
    let own = vm.rank();
    group.iter().any(|rank| *rank < own)
}

async fn register_in_background(vm: Rc<Vm>, entry: Value) {
    let mut store = vm.store_client();
    register(&vm, &mut store, &entry).await;
}

/// Creates or replaces this VM's entry in the store, and retries until it is written.
async fn register(vm: &Vm, store: &mut Client, entry: &Value) {
    let name = vm.settings.vm.as_str();
    let mut backoff = Backoff::default();
    loop {
        let mut written = store.create(VMS, name, entry.clone()).await;
        vm.count_store_call("entry-create", &written);
        if let Err(StoreError::Conflict(Some(old))) = &written {
            if old.spec == *entry {
                return;
            }
            written = store.replace(VMS, name, old.metadata.position, entry.clone()).await;
            vm.count_store_call("entry-replace", &written);
        }
        match written {
            Ok(_) => return,
            Err(error) => {
                let why = error.to_string();
                vm.log("registration of this VM failed", &[("why", why.as_str().into())]);
                tokio::time::sleep(backoff.next_delay(MAX_BACKOFF).duration()).await;
            }
        }
    }
}

/// Inserts or updates the peer that an entry in the store describes. This VM's own entry is
/// ignored.
pub fn apply_entry(vm: &Vm, object: &Object) {
    let entry: Result<PeerInfo, _> = serde_json::from_value(object.spec.clone());
    let (Ok(entry), Ok(name)) = (entry, object.metadata.name.parse::<Name>()) else {
        vm.log("invalid VM entry ignored", &[("name", object.metadata.name.as_str().into())]);
        return;
    };
    if name == vm.settings.vm {
        return;
    }
    vm.peers.borrow_mut().insert_listed(name, entry, vm.now());
}

/// Removes the peer whose entry was removed from the store. If it is this VM's own entry, the VM
/// registers again.
pub fn remove_entry(vm: &Vm, name: &str) {
    if name == vm.settings.vm.as_str() {
        vm.log("entry of this VM removed from the store", &[]);
        vm.is_unregistered.set(true);
        return;
    }
    vm.peers.borrow_mut().retain_listed(|known| known.as_str() != name, vm.now());
}
