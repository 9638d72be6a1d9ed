package entry

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/readlimit"
)

// defaultRecheckInterval is how often certificate files are checked for changes.
const defaultRecheckInterval = 10 * time.Second

// certificateFiles loads a certificate again when its files change, so that keys can
// be replaced without a restart.
type certificateFiles struct {
	TLSFiles
	recheckInterval time.Duration // 0 means defaultRecheckInterval

	mu       sync.Mutex
	checked  time.Time
	modified modificationTimes
	current  *tls.Certificate
	pool     *x509.CertPool
}

// load returns the certificate and the authorities from the files. If the files
// can't be read, it returns those loaded last.
func (c *certificateFiles) load(now time.Time) (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && now.Sub(c.checked) < cmp.Or(c.recheckInterval, defaultRecheckInterval) {
		return c.current, c.pool, nil
	}
	c.checked = now
	err := c.reload()
	if c.current == nil {
		return nil, nil, err
	}
	return c.current, c.pool, nil
}

func (c *certificateFiles) reload() error {
	modified, err := c.modificationTimes()
	if err != nil {
		return err
	}
	if c.current != nil && modified == c.modified {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %q", c.CertificateFile)
	}
	pool, err := readAuthorities(c.AuthorityFile)
	if err != nil {
		return err
	}
	c.current, c.pool, c.modified = &certificate, pool, modified
	return nil
}

// modificationTimes holds the modification times of the certificate, the key and the
// authorities in nanoseconds since 1970. All three are compared, since a file that
// replaces one of them may be older than the other two.
type modificationTimes [3]int64

func (f TLSFiles) modificationTimes() (modificationTimes, error) {
	var all modificationTimes
	for n, file := range []string{f.CertificateFile, f.KeyFile, f.AuthorityFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return modificationTimes{}, errors.Wrap(err, "stat certificate file")
		}
		all[n] = info.ModTime().UnixNano()
	}
	return all, nil
}

func readAuthorities(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	data, err := readlimit.File(file, maxSettingsBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("file %q holds no PEM certificate", file)
	}
	return pool, nil
}

// serverTLS returns the TLS configuration of a listener, or nil if TLS is off. If
// mutual is set, clients must present a certificate of one of the authorities.
func (c *certificateFiles) serverTLS(mutual bool) *tls.Config {
	if c.CertificateFile == "" {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, pool, err := c.load(time.Now())
			if err != nil {
				return nil, err
			}
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}}
			if mutual {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = pool
			}
			return config, nil
		},
	}
}

// clientTLS returns the TLS configuration for calls to other entry instances, or nil
// if TLS is off. The certificate chain is checked, but not the host name, since
// addresses are IP addresses.
func (c *certificateFiles) clientTLS() *tls.Config {
	if c.CertificateFile == "" {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the certificate chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _, err := c.load(time.Now())
			return certificate, err
		},
		VerifyConnection: c.verifyPeer,
	}
}

func (c *certificateFiles) verifyPeer(state tls.ConnectionState) error {
	_, pool, err := c.load(time.Now())
	if err != nil {
		return err
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return err
}
