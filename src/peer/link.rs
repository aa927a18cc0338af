//! Links between VMs: QUIC with mutual TLS from the fleet's key.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hmac::{Hmac, Mac};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::crypto::{CryptoError, HmacKey};
use quinn::{
    ClientConfig, Connection, ConnectionId, ConnectionIdGenerator, Endpoint, EndpointConfig,
    ServerConfig, TransportConfig,
};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::WebPkiClientVerifier;
use sha2::{Digest, Sha256};

use crate::error::Error;
use crate::unit::Size;

/// The name that every VM's certificate bears.
const SERVER_NAME: &str = "vm.kitepulley";

/// Largest message.
const MAX_MESSAGE_SIZE: Size = Size(8_000_000);

/// A link without traffic is closed after this; neighbours probe more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes of a connection's id.
const CONNECTION_ID_BYTES: usize = 8;

/// A call that takes longer is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// What arrives on a link.
pub enum Incoming {
    /// A one-way message.
    Frame(Vec<u8>),
    /// A call, and where its answer goes.
    Call(Vec<u8>, tokio::sync::oneshot::Sender<Vec<u8>>),
}

/// Key of stateless resets. It follows from the fleet's key, so that a process that starts again at its
/// address resets the connections of the one before, which would else lose all messages until they idle out.
struct ResetKey([u8; 32]);

impl ResetKey {
    fn from_fleet_key(fleet_key: &[u8]) -> ResetKey {
        let seed = Sha256::new().chain_update(b"kitepulley resets ").chain_update(fleet_key);
        ResetKey(seed.finalize().into())
    }

    fn mac(&self, data: &[u8]) -> Hmac<Sha256> {
        Hmac::<Sha256>::new_from_slice(&self.0).expect("any length does").chain_update(data)
    }
}

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature: &mut [u8]) {
        signature.copy_from_slice(&self.mac(data).finalize().into_bytes());
    }

    fn signature_len(&self) -> usize {
        Sha256::output_size()
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        self.mac(data).verify_slice(signature).map_err(|_| CryptoError)
    }
}

/// Draws the ids of connections. All ids are valid, so that those of the process before are reset.
struct RandomIds;

impl ConnectionIdGenerator for RandomIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::random::<[u8; CONNECTION_ID_BYTES]>())
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// The links of one VM.
#[derive(Clone)]
pub struct Links {
    endpoint: Endpoint,
    open: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    blocked: Arc<Mutex<HashSet<SocketAddr>>>,
    bytes_sent: Arc<std::sync::atomic::AtomicU64>,
}

/// Keys and certificates that follow from the fleet's key alone.
struct Identity {
    root: CertificateDer<'static>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivatePkcs8KeyDer<'static>,
}

impl Identity {
    fn from_fleet_key(fleet_key: &[u8]) -> Result<Identity, Box<dyn std::error::Error>> {
        let seed = Sha256::new().chain_update(b"kitepulley fleet ").chain_update(fleet_key);
        let root_key = KeyPair::try_from(ed25519_pkcs8(&seed.finalize().into()).as_slice())?;
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, "kitepulley fleet");
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(2100, 1, 1);
        let root = params.self_signed(&root_key)?;
        let issuer = Issuer::new(params, root_key);
        let key = KeyPair::generate_for(&rcgen::PKCS_ED25519)?;
        let leaf =
            CertificateParams::new(vec![SERVER_NAME.to_owned()])?.signed_by(&key, &issuer)?;
        Ok(Identity {
            root: root.der().clone(),
            chain: vec![leaf.der().clone()],
            key: PrivatePkcs8KeyDer::from(key.serialize_der()),
        })
    }
}

/// A private Ed25519 key of that seed, as RFC 8410 encodes it.
fn ed25519_pkcs8(seed: &[u8; 32]) -> Vec<u8> {
    const PKCS8_PREFIX: [u8; 16] = [
        0x30, 0x2e, 0x02, 0x01, 0, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
    ];
    [PKCS8_PREFIX.as_slice(), seed].concat()
}

fn tls_configs(
    fleet_key: &[u8],
) -> Result<(ServerConfig, ClientConfig), Box<dyn std::error::Error>> {
    let identity = Identity::from_fleet_key(fleet_key)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut roots = RootCertStore::empty();
    roots.add(identity.root)?;
    let roots = Arc::new(roots);
    let key = || PrivateKeyDer::from(identity.key.clone_key());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), key())?;
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(identity.chain, key())?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IDLE_TIMEOUT.try_into()?));
    let transport = Arc::new(transport);
    let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    server.transport_config(transport.clone());
    let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    client.transport_config(transport);
    Ok((server, client))
}

impl Links {
    /// Binds `address`; whatever arrives goes to `inbox`. Must run where the process's reactor is.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        fleet_key: &[u8],
        inbox: tokio::sync::mpsc::UnboundedSender<Incoming>,
    ) -> Result<Links, Error> {
        let fault = |cause: String| Error::Bind(address.to_string(), cause);
        let (server, client) = tls_configs(fleet_key).map_err(|e| fault(e.to_string()))?;
        let reset_key = ResetKey::from_fleet_key(fleet_key);
        let mut config = EndpointConfig::new(Arc::new(reset_key));
        config.cid_generator(|| Box::new(RandomIds));
        let runtime = quinn::default_runtime().ok_or_else(|| fault("no runtime".to_owned()))?;
        let socket = UdpSocket::bind(address).map_err(|e| fault(e.to_string()))?;
        let endpoint = Endpoint::new(config, Some(server), socket, runtime);
        let mut endpoint = endpoint.map_err(|e| fault(e.to_string()))?;
        endpoint.set_default_client_config(client);
        let links = Links {
            endpoint,
            open: Arc::default(),
            blocked: Arc::default(),
            bytes_sent: Arc::default(),
        };
        actix_web::rt::spawn(links.clone().accept(inbox));
        Ok(links)
    }

    /// Where the VM listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    /// Bytes of messages sent so far, without the transport's own.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Cuts or mends the way to these addresses, for tests of faults.
    pub fn set_blocked(&self, addresses: HashSet<SocketAddr>) {
        *self.blocked.lock().expect("no panic while held") = addresses;
    }

    /// Closes everything at once.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"");
    }

    async fn accept(self, inbox: tokio::sync::mpsc::UnboundedSender<Incoming>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let inbox = inbox.clone();
            actix_web::rt::spawn(async move {
                if let Ok(connection) = incoming.await {
                    serve(connection, inbox).await;
                }
            });
        }
    }

    async fn connection(&self, to: SocketAddr) -> Option<Connection> {
        if self.blocked.lock().expect("no panic while held").contains(&to) {
            return None;
        }
        let held = self.open.lock().expect("no panic while held").get(&to).cloned();
        if let Some(held) = held.filter(|held| held.close_reason().is_none()) {
            return Some(held);
        }
        let connection = self.endpoint.connect(to, SERVER_NAME).ok()?.await.ok()?;
        self.open.lock().expect("no panic while held").insert(to, connection.clone());
        Some(connection)
    }

    fn count_sent(&self, bytes: &[u8]) {
        self.bytes_sent.fetch_add(bytes.len() as u64, std::sync::atomic::Ordering::Relaxed);
    }

    /// Sends a one-way message; a lost one is the sender's to repeat.
    pub async fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        let send = async {
            let mut stream = self.connection(to).await?.open_uni().await.ok()?;
            self.count_sent(&bytes);
            stream.write_all(&bytes).await.ok()?;
            stream.finish().ok()
        };
        let _ = tokio::time::timeout(CALL_TIMEOUT, send).await;
    }

    /// Sends a call and waits for its answer; nothing if none came in time.
    pub async fn call(&self, to: SocketAddr, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let call = async {
            let (mut send, mut receive) = self.connection(to).await?.open_bi().await.ok()?;
            self.count_sent(&bytes);
            send.write_all(&bytes).await.ok()?;
            send.finish().ok()?;
            receive.read_to_end(MAX_MESSAGE_SIZE.0 as usize).await.ok()
        };
        tokio::time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
    }
}

async fn serve(connection: Connection, inbox: tokio::sync::mpsc::UnboundedSender<Incoming>) {
    loop {
        tokio::select! {
            stream = connection.accept_uni() => {
                let Ok(mut stream) = stream else { return };
                let inbox = inbox.clone();
                actix_web::rt::spawn(async move {
                    if let Ok(bytes) = stream.read_to_end(MAX_MESSAGE_SIZE.0 as usize).await {
                        let _ = inbox.send(Incoming::Frame(bytes));
                    }
                });
            }
            streams = connection.accept_bi() => {
                let Ok((mut send, mut receive)) = streams else { return };
                let inbox = inbox.clone();
                actix_web::rt::spawn(async move {
                    let Ok(bytes) = receive.read_to_end(MAX_MESSAGE_SIZE.0 as usize).await else { return };
                    let (sender, answer) = tokio::sync::oneshot::channel();
                    let _ = inbox.send(Incoming::Call(bytes, sender));
                    if let Ok(bytes) = answer.await {
                        let _ = send.write_all(&bytes).await;
                        let _ = send.finish();
                    }
                });
            }
        }
    }
}
