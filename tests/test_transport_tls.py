"""Guards against streams with processes that have no certificate of the CA."""

from __future__ import annotations

import asyncio
import ipaddress
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from catkincross.effects import Connected, Disconnected
from catkincross.messages import CancelTasks
from catkincross.settings import TlsSettings

from .test_transport import Endpoint, make_endpoint, wait_until


def write_certificate(folder: Path, name: str) -> TlsSettings:
    """Write a key and a self-signed certificate for 127.0.0.1."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    loopback = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([loopback]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    key_path, certificate_path = folder / f"{name}.key", folder / f"{name}.pem"
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return TlsSettings(
        certificate=str(certificate_path), key=str(key_path), ca=str(certificate_path)
    )


def make_tls_endpoint(process: str, tls: TlsSettings) -> Endpoint:
    endpoint = make_endpoint(process)
    endpoint.transport.tls = tls
    return endpoint


def test_a_process_without_a_certificate_of_the_ca_gets_no_stream(
    tmp_path: Path,
) -> None:
    """Without client certificates any host could start tasks or answer for agents."""
    trusted = write_certificate(tmp_path, "trusted")
    other = write_certificate(tmp_path, "other")
    other.ca = trusted.ca

    async def run() -> None:
        entry = make_tls_endpoint("entry/e1", trusted)
        agent = make_tls_endpoint("agent/u1", trusted)
        intruder = make_tls_endpoint("agent/u2", other)
        plain = make_endpoint("agent/u3")
        address = await entry.transport.serve("127.0.0.1:0")
        for endpoint in (agent, intruder, plain):
            endpoint.transport.set_peers({"entry/e1": address})
        await wait_until(lambda: agent.posted_of(Connected))
        agent.transport.send("entry/e1", CancelTasks([]))
        await wait_until(entry.messages)
        await wait_until(
            lambda: intruder.posted_of(Disconnected) and plain.posted_of(Disconnected)
        )
        assert entry.posted_of(Connected) == [Connected("agent/u1")]
        assert not intruder.posted_of(Connected) and not plain.posted_of(Connected)
        for endpoint in (agent, intruder, plain, entry):
            await endpoint.transport.close(1.0)

    asyncio.run(run())
