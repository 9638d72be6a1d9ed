package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/peer"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
)

// authority is a certificate authority for tests.
type authority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t}
	a.key, a.certificate = a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	return a
}

// sign completes and signs a template. The first one, the authority's own, is
// self-signed.
func (a *authority) sign(template *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	g := NewWithT(a.t)
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	signer, parent := a.key, a.certificate
	if signer == nil {
		signer, parent = key, template
	}
	data, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	g.Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(data)
	g.Expect(err).NotTo(HaveOccurred())
	return key, certificate
}

func (a *authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// issue returns a new certificate for 127.0.0.1.
func (a *authority) issue() tls.Certificate {
	key, certificate := a.sign(&x509.Certificate{
		Subject:     pkix.Name{CommonName: "entry"},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return tls.Certificate{Certificate: [][]byte{certificate.Raw}, PrivateKey: key, Leaf: certificate}
}

// write writes a new certificate and its key to the files, sets the files'
// modification time and returns the serial number of the certificate.
func (a *authority) write(files entry.TLSFiles, modified time.Time) int64 {
	g := NewWithT(a.t)
	certificate := a.issue()
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	g.Expect(err).NotTo(HaveOccurred())
	for _, item := range []struct {
		file, kind string
		data       []byte
	}{
		{files.CertificateFile, "CERTIFICATE", certificate.Certificate[0]},
		{files.KeyFile, "PRIVATE KEY", key},
	} {
		g.Expect(os.WriteFile(item.file, pem.EncodeToMemory(&pem.Block{Type: item.kind, Bytes: item.data}), 0o600)).To(Succeed())
		g.Expect(os.Chtimes(item.file, modified, modified)).To(Succeed())
	}
	return certificate.Leaf.SerialNumber.Int64()
}

// newFiles returns files with a new certificate and with the certificate of the
// authority.
func (a *authority) newFiles() entry.TLSFiles {
	dir := a.t.TempDir()
	files := entry.TLSFiles{
		CertificateFile: filepath.Join(dir, "certificate.pem"),
		KeyFile:         filepath.Join(dir, "key.pem"),
		AuthorityFile:   filepath.Join(dir, "authorities.pem"),
	}
	data := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
	NewWithT(a.t).Expect(os.WriteFile(files.AuthorityFile, data, 0o600)).To(Succeed())
	a.write(files, time.Now())
	return files
}

// startWithTLS starts two entry instances that use TLS with callers and with each
// other.
func startWithTLS(t *testing.T, a *authority) (d *deployment.Deployment, callerFiles, peerFiles entry.TLSFiles) {
	t.Helper()
	callerFiles, peerFiles = a.newFiles(), a.newFiles()
	d = startPlan(t, deployment.Plan{
		EntriesPerDataCentre: 2,
		Settings:             func(s *entry.Settings) { s.CallersTLS, s.PeersTLS = callerFiles, peerFiles },
	})
	return d, callerFiles, peerFiles
}

func TestCallersUseTLS(t *testing.T) {
	authority := newAuthority(t)
	d, _, _ := startWithTLS(t, authority)
	address := d.Entries()[0].Settings.CallersAddress
	for _, row := range []struct {
		name   string
		scheme string
		roots  *x509.CertPool
		status int // 0 means that the handshake must fail
	}{
		{"known authority", "https", authority.pool(), http.StatusOK},
		{"other authority", "https", newAuthority(t).pool(), 0},
		{"no TLS", "http", nil, http.StatusBadRequest},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: row.roots}}
			defer transport.CloseIdleConnections()
			response, err := (&http.Client{Transport: transport}).Get(row.scheme + "://" + address + "/healthz")
			if row.status == 0 {
				var unknown x509.UnknownAuthorityError
				g.Expect(err).To(MatchError(ContainSubstring(unknown.Error())))
				return
			}
			if row.scheme == "http" && err != nil {
				return // the server may also close the connection
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Body.Close()).To(Succeed())
			g.Expect(response.StatusCode).To(Equal(row.status))
		})
	}
}

func TestPeersVerifyCertificates(t *testing.T) {
	known, other := newAuthority(t), newAuthority(t)
	d, _, _ := startWithTLS(t, known)
	address := d.Entries()[0].Settings.PeersAddress
	for _, row := range []struct {
		name   string
		config *tls.Config
		served bool
	}{
		{"known authority", &tls.Config{RootCAs: known.pool(), Certificates: []tls.Certificate{known.issue()}}, true},
		{"other authority", &tls.Config{RootCAs: known.pool(), Certificates: []tls.Certificate{other.issue()}}, false},
		{"no certificate", &tls.Config{RootCAs: known.pool()}, false},
		{"no TLS", nil, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			if row.config != nil {
				row.config.ServerName = "127.0.0.1"
			}
			client := &peer.Client{Sender: "test", TLS: row.config}
			defer client.Close()
			_, err := client.FetchState(t.Context(), address, "config", 0)
			if row.served {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(HaveOccurred())
		})
	}
	t.Run("entry instances call each other", func(t *testing.T) {
		expectPeersKnown(t, d, known)
	})
	t.Run("server with a certificate of another authority", func(t *testing.T) {
		expectServerRejected(t, d, other)
	})
}

// expectPeersKnown checks that an entry instance knows the other one, which it can
// only learn from calls between them.
func expectPeersKnown(t *testing.T, d *deployment.Deployment, a *authority) {
	t.Helper()
	g := NewWithT(t)
	client := &peer.Client{Sender: "test", TLS: &tls.Config{RootCAs: a.pool(), ServerName: "127.0.0.1", Certificates: []tls.Certificate{a.issue()}}}
	defer client.Close()
	first, second := d.Entries()[0].Settings, d.Entries()[1].Settings
	names := func() []string {
		list, err := client.Hello(t.Context(), first.PeersAddress, &peerpb.Instance{
			Name: "test", DataCentre: "dc-1", Address: "127.0.0.1:1", Boot: 1, BootId: "test",
		})
		g.Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, instance := range list {
			names = append(names, instance.GetName())
		}
		return names
	}
	g.Eventually(names, testTimeout).Should(ContainElements(first.Name, second.Name))
}

// expectServerRejected checks that an entry instance aborts the handshake with a
// server whose certificate comes from the given authority.
func expectServerRejected(t *testing.T, d *deployment.Deployment, a *authority) {
	t.Helper()
	g := NewWithT(t)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{a.issue()}, ClientAuth: tls.RequestClientCert})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	settings := d.Entries()[0].Settings
	settings.Name = "dc-1-entry-3"
	settings.Peers = []string{listener.Addr().String()}
	ports, err := deployment.FreeAddresses(3)
	g.Expect(err).NotTo(HaveOccurred())
	settings.CallersAddress, settings.PeersAddress, settings.OperatorsAddress = ports[0], ports[1], ports[2]
	d.StartEntry(settings)
	conn, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	// The client reports its verdict after the server's part of the handshake.
	_ = conn.(*tls.Conn).HandshakeContext(t.Context())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(ContainSubstring("bad certificate")))
}

// serialAt returns the serial number of the certificate that a listener presents.
func serialAt(t *testing.T, address string, config *tls.Config) int64 {
	t.Helper()
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conn, err := (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestReplacedCertificatesAreReloaded(t *testing.T) {
	a := newAuthority(t)
	d, callers, peers := startWithTLS(t, a)
	first := d.Entries()[0]
	first.Server.RecheckCertificates()
	config := &tls.Config{RootCAs: a.pool(), Certificates: []tls.Certificate{a.issue()}}
	for _, row := range []struct {
		name     string
		files    entry.TLSFiles
		address  string
		modified time.Time
	}{
		{"callers", callers, first.Settings.CallersAddress, time.Now().Add(time.Minute)},
		{"peers", peers, first.Settings.PeersAddress, time.Now().Add(time.Minute)},
		{"certificate older than the authorities", callers, first.Settings.CallersAddress, time.Now().Add(-2 * time.Minute)},
		{"certificate older than its predecessor", callers, first.Settings.CallersAddress, time.Now().Add(-3 * time.Minute)},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			serial := a.write(row.files, row.modified)
			g.Expect(serialAt(t, row.address, config)).To(Equal(serial))
		})
	}
	t.Run("unreadable files are ignored", func(t *testing.T) {
		g := NewWithT(t)
		before := serialAt(t, first.Settings.CallersAddress, config)
		g.Expect(os.WriteFile(callers.KeyFile, []byte("no key"), 0o600)).To(Succeed())
		g.Expect(serialAt(t, first.Settings.CallersAddress, config)).To(Equal(before))
		g.Expect(os.Remove(callers.CertificateFile)).To(Succeed())
		g.Expect(serialAt(t, first.Settings.CallersAddress, config)).To(Equal(before))
		serial := a.write(callers, time.Now())
		g.Expect(serialAt(t, first.Settings.CallersAddress, config)).To(Equal(serial))
	})
}
