//! Fleet certificate authority and per-process keys.
//!
//! Every process has a certificate that is issued by the authority of the fleet and whose DNS name
//! is the name of the process. Both ends of a link verify each other against that authority.
//! Files are PEM: `ca.pem` and `ca.key`, `NAME.pem` and `NAME.key`.

use crate::errors;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use std::fs;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use time::OffsetDateTime;
use x509_parser::extensions::GeneralName;

/// ALPN protocol id that both ends of a link must offer.
pub const ALPN: &[u8] = b"basilfield/1";
/// Validity of the authority's certificate, in days.
pub const CA_VALIDITY_DAYS: u32 = 3650;
/// Default validity of the certificate of a process, in days.
pub const DEFAULT_VALIDITY_DAYS: u32 = 365;

const CA_NAME: &str = "basilfield fleet CA";
/// Certificates are valid from this long before their issue, since the clocks of hosts differ.
const CLOCK_SKEW_ALLOWANCE: time::Duration = time::Duration::hours(1);
/// Mode of key and certificate files: accessible to their owner only.
const FILE_MODE: u32 = 0o600;

/// Certificate authority of a fleet.
pub struct Authority {
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
    certificate: CertificateDer<'static>,
    pem: String,
}

/// Certificate and key of a process in PEM, as issued by an [`Authority`].
pub struct IssuedCertificate {
    /// Name of the process.
    pub name: Arc<str>,
    /// Certificate.
    pub certificate: String,
    /// Private key.
    pub key: String,
    /// Certificate of the authority.
    pub authority: String,
}

/// Name and expiry of a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateInfo {
    /// DNS name; the common name for an authority.
    pub name: Arc<str>,
    /// End of the validity in seconds since the Unix epoch.
    pub expiry: i64,
}

/// Name, certificate, key and trusted authority of a process.
#[derive(Clone)]
pub struct Identity {
    name: Arc<str>,
    expiry: i64,
    client: Arc<QuicClientConfig>,
    server: Arc<QuicServerConfig>,
}

impl Authority {
    /// Creates an authority with a new key.
    pub fn create() -> Result<Authority, errors::Error> {
        let key = generate_key()?;
        let params = ca_params();
        let certificate = params.self_signed(&key).map_err(|e| invalid("create CA", CA_NAME, e))?;
        Ok(Authority {
            pem: certificate.pem(),
            certificate: certificate.der().clone(),
            issuer: rcgen::Issuer::new(params, key),
        })
    }

    /// Reads `ca.pem` and `ca.key` in `dir`.
    pub fn load(dir: &Path) -> Result<Authority, errors::Error> {
        let (certificate_path, key_path) = (dir.join("ca.pem"), dir.join("ca.key"));
        let pem = read(&certificate_path)?;
        let certificate = first_certificate(&certificate_path, &pem)?;
        let key = rcgen::KeyPair::from_pem(&read(&key_path)?)
            .map_err(|e| invalid("read key", path_name(&key_path), e))?;
        Ok(Authority { pem, certificate, issuer: rcgen::Issuer::new(ca_params(), key) })
    }

    /// Writes `ca.pem` and `ca.key` to `dir`. Fails if one of them exists.
    pub fn save(&self, dir: &Path) -> Result<(), errors::Error> {
        fs::create_dir_all(dir)
            .map_err(|e| errors::Error::io("create folder", path_name(dir), e))?;
        create(&dir.join("ca.key"), &self.issuer.key().serialize_pem())?;
        create(&dir.join("ca.pem"), &self.pem)
    }

    /// Issues a certificate for the process `name`, which must be a valid DNS name. It expires
    /// with the authority at the latest.
    pub fn issue(&self, name: &str, days: u32) -> Result<IssuedCertificate, errors::Error> {
        check_name(name)?;
        let key = generate_key()?;
        let mut params = rcgen::CertificateParams::new(vec![name.to_string()])
            .map_err(|e| invalid("issue certificate", name, e))?;
        params.distinguished_name = common_name(name);
        params.key_usages = vec![rcgen::KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            rcgen::ExtendedKeyUsagePurpose::ServerAuth,
            rcgen::ExtendedKeyUsagePurpose::ClientAuth,
        ];
        set_validity(&mut params, days);
        // A certificate is of no use after the authority has expired.
        let last = OffsetDateTime::from_unix_timestamp(certificate_info(&self.certificate)?.expiry)
            .map_err(|e| invalid("issue certificate", name, e))?;
        params.not_after = params.not_after.min(last);
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(|e| invalid("issue certificate", name, e))?;
        Ok(IssuedCertificate {
            name: name.into(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
            authority: self.pem.clone(),
        })
    }

    /// Issues an identity that is kept in memory only, for tests and runs in a single process.
    pub fn identity(&self, name: &str) -> Result<Identity, errors::Error> {
        let issued = self.issue(name, DEFAULT_VALIDITY_DAYS)?;
        let path = Path::new(name);
        let chain = vec![first_certificate(path, &issued.certificate)?];
        Identity::build(path, chain, first_key(path, &issued.key)?, self.certificate.clone())
    }
}

impl IssuedCertificate {
    /// Writes `NAME.pem`, `NAME.key` and, if it is missing, `ca.pem` to `dir`.
    ///
    /// Files of an earlier issue are replaced one by one, each atomically.
    pub fn save(&self, dir: &Path) -> Result<(), errors::Error> {
        fs::create_dir_all(dir)
            .map_err(|e| errors::Error::io("create folder", path_name(dir), e))?;
        replace(&dir.join(format!("{}.key", self.name)), &self.key)?;
        replace(&dir.join(format!("{}.pem", self.name)), &self.certificate)?;
        let authority = dir.join("ca.pem");
        if authority.exists() { Ok(()) } else { create(&authority, &self.authority) }
    }
}

impl Identity {
    /// Reads an identity from PEM files: authority, certificate and key.
    pub fn load(authority: &Path, chain: &Path, key: &Path) -> Result<Identity, errors::Error> {
        let root = first_certificate(authority, &read(authority)?)?;
        let text = read(chain)?;
        let certificates = rustls_pemfile::certs(&mut text.as_bytes())
            .collect::<Result<Vec<_>, _>>()
            .map_err(|e| invalid("read certificate", path_name(chain), e))?;
        Identity::build(chain, certificates, first_key(key, &read(key)?)?, root)
    }

    /// Reads the identity of process `name` from the files that `basilfield cert` wrote to `dir`.
    pub fn load_from(dir: &Path, name: &str) -> Result<Identity, errors::Error> {
        let file = |suffix: &str| dir.join(format!("{name}.{suffix}"));
        Identity::load(&dir.join("ca.pem"), &file("pem"), &file("key"))
    }

    /// Name of the process.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Seconds until the certificate expires; 0 if it has expired.
    pub fn expires_in(&self) -> u64 {
        seconds_until(self.expiry)
    }

    /// TLS configuration for outgoing connections.
    pub(crate) fn client(&self) -> Arc<QuicClientConfig> {
        self.client.clone()
    }

    /// TLS configuration for incoming connections.
    pub(crate) fn server(&self) -> Arc<QuicServerConfig> {
        self.server.clone()
    }

    fn build(
        path: &Path,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        root: CertificateDer<'static>,
    ) -> Result<Identity, errors::Error> {
        let failed = |e: &dyn std::fmt::Display| invalid("load identity", path_name(path), e);
        let leaf = chain.first().ok_or_else(|| failed(&"the file holds no certificate"))?;
        let info = certificate_info(leaf)?;
        let mut roots = rustls::RootCertStore::empty();
        roots.add(root).map_err(|e| failed(&e))?;
        let roots = Arc::new(roots);
        let client = client_config(roots.clone(), chain.clone(), key.clone_key());
        let server = server_config(roots, chain, key);
        let client = client.map_err(|e| failed(&e))?;
        let server = server.map_err(|e| failed(&e))?;
        Ok(Identity {
            name: info.name,
            expiry: info.expiry,
            client: Arc::new(QuicClientConfig::try_from(client).map_err(|e| failed(&e))?),
            server: Arc::new(QuicServerConfig::try_from(server).map_err(|e| failed(&e))?),
        })
    }
}

/// Reads name and expiry of a certificate in DER.
pub fn certificate_info(
    certificate: &CertificateDer<'_>,
) -> Result<CertificateInfo, errors::Error> {
    let (_, parsed) = x509_parser::parse_x509_certificate(certificate)
        .map_err(|e| invalid("parse certificate", "certificate", e))?;
    let names = parsed.subject_alternative_name().ok().flatten();
    let dns = names.and_then(|names| {
        names.value.general_names.iter().find_map(|name| match name {
            GeneralName::DNSName(name) => Some(*name),
            _ => None,
        })
    });
    let common = parsed.subject().iter_common_name().next().and_then(|cn| cn.as_str().ok());
    let name = dns.or(common).ok_or_else(|| {
        invalid("parse certificate", "certificate", "it has neither a DNS name nor a common name")
    })?;
    Ok(CertificateInfo { name: name.into(), expiry: parsed.validity().not_after.timestamp() })
}

/// Reads name and expiry of the first certificate in a PEM file.
pub fn read_certificate_info(path: &Path) -> Result<CertificateInfo, errors::Error> {
    certificate_info(&first_certificate(path, &read(path)?)?)
}

/// Seconds from now until `expiry`, a Unix time in seconds; 0 if it has passed.
pub fn seconds_until(expiry: i64) -> u64 {
    let left = expiry - OffsetDateTime::now_utc().unix_timestamp();
    u64::try_from(left).unwrap_or(0)
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn client_config(
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<rustls::ClientConfig, rustls::Error> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    // Without session tickets no 0-RTT data can be sent, which an attacker could replay.
    config.resumption = rustls::client::Resumption::disabled();
    Ok(config)
}

fn server_config(
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<rustls::ServerConfig, rustls::Error> {
    let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(roots, provider())
        .build()
        .map_err(|e| rustls::Error::General(e.to_string()))?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.send_tls13_tickets = 0;
    config.max_early_data_size = 0;
    Ok(config)
}

fn ca_params() -> rcgen::CertificateParams {
    let mut params = rcgen::CertificateParams::default();
    params.distinguished_name = common_name(CA_NAME);
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Constrained(0));
    params.key_usages =
        vec![rcgen::KeyUsagePurpose::KeyCertSign, rcgen::KeyUsagePurpose::DigitalSignature];
    set_validity(&mut params, CA_VALIDITY_DAYS);
    params
}

fn common_name(name: &str) -> rcgen::DistinguishedName {
    let mut distinguished = rcgen::DistinguishedName::new();
    distinguished.push(rcgen::DnType::CommonName, name);
    distinguished
}

fn set_validity(params: &mut rcgen::CertificateParams, days: u32) {
    let now = OffsetDateTime::now_utc();
    params.not_before = now - CLOCK_SKEW_ALLOWANCE;
    params.not_after = now + time::Duration::days(days.into());
}

fn generate_key() -> Result<rcgen::KeyPair, errors::Error> {
    rcgen::KeyPair::generate().map_err(|e| errors::Error::io("generate key", "local", e))
}

fn check_name(name: &str) -> Result<(), errors::Error> {
    // Dialers verify the name as a DNS name. The files of a process `ca` would overwrite those of
    // the authority.
    let valid = rustls::pki_types::DnsName::try_from(name).is_ok() && name != "ca";
    if valid {
        Ok(())
    } else {
        Err(invalid("issue certificate", name, "the name must be a valid DNS name other than ca"))
    }
}

fn first_certificate(path: &Path, pem: &str) -> Result<CertificateDer<'static>, errors::Error> {
    match rustls_pemfile::certs(&mut pem.as_bytes()).next() {
        Some(Ok(certificate)) => Ok(certificate),
        Some(Err(e)) => Err(invalid("read certificate", path_name(path), e)),
        None => Err(invalid("read certificate", path_name(path), "the file holds no certificate")),
    }
}

fn first_key(path: &Path, pem: &str) -> Result<PrivateKeyDer<'static>, errors::Error> {
    rustls_pemfile::private_key(&mut pem.as_bytes())
        .map_err(|e| invalid("read key", path_name(path), e))?
        .ok_or_else(|| invalid("read key", path_name(path), "the file holds no private key"))
}

fn read(path: &Path) -> Result<String, errors::Error> {
    fs::read_to_string(path).map_err(|e| errors::Error::io("read file", path_name(path), e))
}

fn create(path: &Path, text: &str) -> Result<(), errors::Error> {
    write_new(path, text).map_err(|e| errors::Error::io("create file", path_name(path), e))
}

fn replace(path: &Path, text: &str) -> Result<(), errors::Error> {
    let temporary = PathBuf::from(format!("{}.tmp", path.display()));
    let written = fs::remove_file(&temporary)
        .or_else(|e| if e.kind() == std::io::ErrorKind::NotFound { Ok(()) } else { Err(e) })
        .and_then(|()| write_new(&temporary, text))
        .and_then(|()| fs::rename(&temporary, path));
    written.map_err(|e| errors::Error::io("replace file", path_name(path), e))
}

fn write_new(path: &Path, text: &str) -> std::io::Result<()> {
    let mut file =
        fs::OpenOptions::new().write(true).create_new(true).mode(FILE_MODE).open(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn path_name(path: &Path) -> Arc<str> {
    path.display().to_string().into()
}

fn invalid(step: &'static str, peer: impl Into<Arc<str>>, cause: impl ToString) -> errors::Error {
    errors::Error::invalid(step, peer, cause)
}
