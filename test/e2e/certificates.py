"""Certificates made while a test runs, with the openssl command."""
import pathlib
import ssl
import subprocess

NEW_KEY = ("-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes")


def openssl(*arguments):
    subprocess.run(["openssl", *map(str, arguments)], check=True, capture_output=True)


class Identity:
    """The files of a certificate and its key."""

    def __init__(self, certificate, key):
        self.certificate = pathlib.Path(certificate)
        self.key = pathlib.Path(key)

    def der(self):
        """Returns the certificate's bytes, as a connection shows them."""
        return ssl.PEM_cert_to_DER_cert(self.certificate.read_text())


class Authority:
    """Signs certificates; all files are in one folder."""

    def __init__(self, folder, name):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True)
        self.identity = Identity(self.folder / "authority.pem", self.folder / "authority.key")
        self._issued = 0
        openssl("req", "-x509", *NEW_KEY, "-days", 2, "-subj", f"/CN={name}", "-keyout", self.identity.key, "-out", self.file)

    @property
    def file(self):
        return self.identity.certificate

    def issue(self, name, days=2):
        """Makes a key and a certificate for 127.0.0.1; one of days < 0 has expired."""
        self._issued += 1
        stem = self.folder / f"{name}-{self._issued}"
        identity = Identity(f"{stem}.pem", f"{stem}.key")
        openssl("req", "-new", *NEW_KEY, "-subj", f"/CN={name}", "-addext", "subjectAltName=IP:127.0.0.1", "-keyout", identity.key, "-out", f"{stem}.csr")
        openssl("x509", "-req", "-in", f"{stem}.csr", "-CA", self.file, "-CAkey", self.identity.key, "-set_serial", self._issued + 1,
                "-copy_extensions", "copy", "-days", days, "-out", identity.certificate)
        return identity

    def verify(self, identity):
        """Returns what openssl says of an identity's certificate."""
        result = subprocess.run(["openssl", "verify", "-CAfile", str(self.file), str(identity.certificate)], capture_output=True, text=True)
        return result.stdout + result.stderr

    def client_tls(self, identity=None):
        """Returns the ssl context of a client that trusts this authority."""
        context = ssl.create_default_context(cafile=self.file)
        if identity:
            context.load_cert_chain(identity.certificate, identity.key)
        return context
