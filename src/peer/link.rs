//! Connections between VMs: QUIC with mutual TLS, whose root certificate is derived from the fleet
//! key.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};
use hmac::{Hmac, Mac};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::crypto::{CryptoError, HmacKey};
use quinn::{
    ClientConfig, Connection, ConnectionId, ConnectionIdGenerator, Endpoint, EndpointConfig,
    RecvStream, ServerConfig, TransportConfig,
};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::WebPkiClientVerifier;
use sha2::{Digest, Sha256};

use super::stream::Sender;
use super::tunnel::{self, Answer, Destination, Tunnel};
use crate::error::Error;
use crate::unit::Size;

/// DNS name in the certificate of every VM.
const SERVER_NAME: &str = "vm.kitepulley";

/// Largest message that a VM reads.
const MAX_MESSAGE_SIZE: Size = Size(8_000_000);

/// A connection without traffic is closed after this time; neighbours probe more often than that.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection that carries tunnels is closed after this time without a sign of life: requests that
/// are open at a backend server must not wait long for a VM that is gone.
const TUNNEL_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval of the signs of life on a connection that carries tunnels.
const TUNNEL_KEEP_ALIVE: Duration = Duration::from_millis(250);

/// Length of a QUIC connection id.
const CONNECTION_ID_BYTES: usize = 8;

/// Time limit for one message or call, with the connection setup.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time limit for the setup of a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Round-trip time assumed before the first measurement. The first packet of a connection to a VM
/// that is still starting is lost, and sent again after three times this.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(50);

/// A message received from another VM.
pub enum Incoming {
    /// A one-way message.
    Frame(Vec<u8>),
    /// A call, and the channel for its reply.
    Call(Vec<u8>, tokio::sync::oneshot::Sender<Vec<u8>>),
    /// A tunnel, whose destination has not been read yet.
    Tunnel(Tunnel),
}

/// Key of QUIC's stateless resets.
///
/// It is derived from the fleet key, so that a process that restarts at the same address resets the
/// connections of the process before it. Otherwise peers would lose all messages that they send on
/// these connections until `IDLE_TIMEOUT` closes them.
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

/// Generates random connection ids and accepts every id as valid, so that packets for connections
/// of the previous process are answered by a stateless reset.
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

/// Setup of a connection, which all messages to its address wait for; `None` if it failed.
type Connecting = Shared<BoxFuture<'static, Option<Connection>>>;

/// Connections of one kind to other VMs. Clones share them.
#[derive(Clone)]
struct Connections {
    endpoint: Endpoint,
    config: ClientConfig,
    open: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    connecting: Arc<Mutex<HashMap<SocketAddr, Connecting>>>,
}

impl Connections {
    fn new(endpoint: Endpoint, config: ClientConfig) -> Connections {
        Connections { endpoint, config, open: Arc::default(), connecting: Arc::default() }
    }

    async fn get(&self, to: SocketAddr) -> Option<Connection> {
        let open = self.open.lock().expect("no panic while held").get(&to).cloned();
        if let Some(open) = open.filter(|open| open.close_reason().is_none()) {
            return Some(open);
        }
        self.connecting(to).await
    }

    /// Returns the setup of a connection that is under way, or starts one. It goes on if a message
    /// that waits for it is given up: otherwise a VM that needs longer for a handshake than its
    /// callers wait for an answer would begin another one with each call, and finish none.
    fn connecting(&self, to: SocketAddr) -> Connecting {
        let mut all = self.connecting.lock().expect("no panic while held");
        if let Some(connecting) = all.get(&to) {
            return connecting.clone();
        }
        let connecting = self.clone().connect(to).boxed().shared();
        all.insert(to, connecting.clone());
        actix_web::rt::spawn(connecting.clone());
        connecting
    }

    async fn connect(self, to: SocketAddr) -> Option<Connection> {
        let connection = self.handshake(to).await;
        if let Some(connection) = &connection {
            self.open.lock().expect("no panic while held").insert(to, connection.clone());
        }
        self.connecting.lock().expect("no panic while held").remove(&to);
        connection
    }

    async fn handshake(&self, to: SocketAddr) -> Option<Connection> {
        let connecting = self.endpoint.connect_with(self.config.clone(), to, SERVER_NAME).ok()?;
        tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()
    }

    /// Closes the connections once nothing uses them.
    fn release(&self) {
        self.open.lock().expect("no panic while held").clear();
    }
}

/// The connections of one VM to other VMs. Clones share them.
#[derive(Clone)]
pub struct Links {
    endpoint: Endpoint,
    /// Connections that carry messages and calls.
    connections: Connections,
    /// Connections that carry tunnels.
    tunnels: Connections,
    blocked: Arc<Mutex<HashSet<SocketAddr>>>,
    bytes_sent: Arc<std::sync::atomic::AtomicU64>,
}

/// Certificates and key of this VM. The root depends on the fleet key alone, so that all VMs of a
/// fleet trust each other's certificates.
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

/// Encodes an Ed25519 private key with this seed as PKCS #8 (RFC 8410).
fn ed25519_pkcs8(seed: &[u8; 32]) -> Vec<u8> {
    const PKCS8_PREFIX: [u8; 16] = [
        0x30, 0x2e, 0x02, 0x01, 0, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
    ];
    [PKCS8_PREFIX.as_slice(), seed].concat()
}

/// Configurations of the QUIC connections of one VM.
struct Configs {
    server: ServerConfig,
    /// For connections that carry messages and calls.
    client: ClientConfig,
    /// For connections that carry tunnels.
    tunnel: ClientConfig,
}

fn tls_configs(fleet_key: &[u8]) -> Result<Configs, Box<dyn std::error::Error>> {
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
    transport.initial_rtt(INITIAL_ROUND_TRIP);
    let transport = Arc::new(transport);
    let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    server.transport_config(transport.clone());
    let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    let mut tunnel = client.clone();
    client.transport_config(transport);
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(TUNNEL_IDLE_TIMEOUT.try_into()?));
    transport.keep_alive_interval(Some(TUNNEL_KEEP_ALIVE));
    transport.initial_rtt(INITIAL_ROUND_TRIP);
    tunnel.transport_config(Arc::new(transport));
    Ok(Configs { server, client, tunnel })
}

impl Links {
    /// Binds `address` and sends everything received to `inbox`.
    ///
    /// Must be called on a thread that runs an actix runtime, which drives the endpoint.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or no certificate can be made from the key.
    pub fn bind(
        address: SocketAddr,
        fleet_key: &[u8],
        inbox: tokio::sync::mpsc::UnboundedSender<Incoming>,
    ) -> Result<Links, Error> {
        let fault = |cause: String| Error::Bind(address.to_string(), cause);
        let Configs { server, client, tunnel } =
            tls_configs(fleet_key).map_err(|e| fault(e.to_string()))?;
        let reset_key = ResetKey::from_fleet_key(fleet_key);
        let mut config = EndpointConfig::new(Arc::new(reset_key));
        config.cid_generator(|| Box::new(RandomIds));
        let runtime = quinn::default_runtime()
            .ok_or_else(|| fault("no async runtime on this thread".to_owned()))?;
        let socket = UdpSocket::bind(address).map_err(|e| fault(e.to_string()))?;
        let endpoint = Endpoint::new(config, Some(server), socket, runtime);
        let endpoint = endpoint.map_err(|e| fault(e.to_string()))?;
        let links = Links {
            connections: Connections::new(endpoint.clone(), client),
            tunnels: Connections::new(endpoint.clone(), tunnel),
            endpoint,
            blocked: Arc::default(),
            bytes_sent: Arc::default(),
        };
        actix_web::rt::spawn(links.clone().accept(inbox));
        Ok(links)
    }

    /// Returns the local address, with the port that the system chose if 0 was given.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    /// Returns the bytes of messages sent so far, without the overhead of QUIC.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Blocks new messages to exactly these addresses, to simulate a network partition; an empty
    /// set ends it.
    pub fn set_blocked(&self, addresses: HashSet<SocketAddr>) {
        *self.blocked.lock().expect("no panic while held") = addresses;
    }

    /// Closes all connections immediately, without waiting for messages in transit.
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
        self.connections.get(to).await
    }

    /// Opens a tunnel to a server through the VM at `to`. Returns the VM's answer, with the tunnel if
    /// it is connected, or none if there is no answer within the time.
    pub async fn open_tunnel(
        &self,
        to: SocketAddr,
        destination: &Destination,
        within: Duration,
    ) -> Option<(Answer, Tunnel)> {
        let open = async {
            let (send, receive) = self.tunnels.get(to).await?.open_bi().await.ok()?;
            let mut tunnel = Tunnel::new(Sender::new(send), receive);
            let answer = tunnel.request(destination).await.ok()?;
            Some((answer, tunnel))
        };
        tokio::time::timeout(within, open).await.ok().flatten()
    }

    /// Closes the connections for tunnels as soon as the tunnels that are open have ended.
    pub fn close_tunnels(&self) {
        self.tunnels.release();
    }

    fn count_sent(&self, bytes: &[u8]) {
        self.bytes_sent.fetch_add(bytes.len() as u64, std::sync::atomic::Ordering::Relaxed);
    }

    /// Sends a one-way message, without a report of its delivery; the caller repeats it if needed.
    pub async fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        let send = async {
            let mut stream = Sender::new(self.connection(to).await?.open_uni().await.ok()?);
            self.count_sent(&bytes);
            stream.write_all(&bytes).await.ok()?;
            stream.finish();
            Some(())
        };
        let _ = tokio::time::timeout(CALL_TIMEOUT, send).await;
    }

    /// Sends a one-way message and waits until the other process has received it. Returns false if
    /// that takes longer than `within`, or the message can't be sent.
    ///
    /// The message is received before whatever its recipient is sent later, but it may not have been
    /// handled yet.
    pub async fn deliver(&self, to: SocketAddr, bytes: &[u8], within: Duration) -> bool {
        let deliver = async {
            let mut stream = Sender::new(self.connection(to).await?.open_uni().await.ok()?);
            self.count_sent(bytes);
            stream.write_all(bytes).await.ok()?;
            // The end of the stream goes into a second packet: a single packet is acknowledged only
            // after a delay.
            tokio::task::yield_now().await;
            stream.finish();
            Some(stream.received().await)
        };
        tokio::time::timeout(within, deliver).await.ok().flatten().unwrap_or(false)
    }

    /// Sends a call and returns its reply, or none if it fails or takes longer than `CALL_TIMEOUT`.
    pub async fn call(&self, to: SocketAddr, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let call = async {
            let (send, mut receive) = self.connection(to).await?.open_bi().await.ok()?;
            let mut send = Sender::new(send);
            self.count_sent(&bytes);
            send.write_all(&bytes).await.ok()?;
            send.finish();
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
                let Ok((send, receive)) = streams else { return };
                actix_web::rt::spawn(serve_stream(Sender::new(send), receive, inbox.clone()));
            }
        }
    }
}

/// Receives a call and sends its reply, or passes a tunnel on.
async fn serve_stream(
    mut send: Sender,
    mut receive: RecvStream,
    inbox: tokio::sync::mpsc::UnboundedSender<Incoming>,
) {
    let Ok(first) = tunnel::read_mark(&mut receive).await else { return };
    if first == tunnel::MARK {
        let _ = inbox.send(Incoming::Tunnel(Tunnel::new(send, receive)));
        return;
    }
    let Ok(rest) = receive.read_to_end(MAX_MESSAGE_SIZE.0 as usize).await else { return };
    let (sender, reply) = tokio::sync::oneshot::channel();
    let _ = inbox.send(Incoming::Call([vec![first], rest].concat(), sender));
    if let Ok(bytes) = reply.await
        && send.write_all(&bytes).await.is_ok()
    {
        send.finish();
    }
}
