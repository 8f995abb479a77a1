package network

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// minCheckInterval is the shortest time between two reads of the files, so that many
// handshakes within this time cause a single read.
const minCheckInterval = time.Second

// Files holds the paths of the PEM files for TLS.
type Files struct {
	// Certificate contains the certificate chain of this process, Key its private key.
	Certificate string
	Key         string
	// CA contains the certificates of the CAs that sign the certificates of the other
	// side.
	CA string
}

// Keys holds a certificate, its key and a CA. It checks their files at handshakes and
// reloads them when they have changed. It is safe for concurrent use.
type Keys struct {
	files Files
	log   *zap.Logger

	// mu guards the fields below.
	mu        sync.Mutex
	current   *identity
	lastCheck time.Time
	// lastDigest is the digest of the content that was last read, valid or not.
	lastDigest [sha256.Size]byte
	// lastError is the last error logged for the files, or empty after a successful
	// reload.
	lastError string
}

// identity is the parsed content of the files.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadKeys reads the files. It returns an error if their content is invalid.
func LoadKeys(files Files, log *zap.Logger) (*Keys, error) {
	k := &Keys{files: files, log: log}
	content, err := files.read()
	if err != nil {
		return nil, err
	}
	k.lastDigest = content.digest()
	k.lastCheck = time.Now()
	k.current, err = content.parse(files)
	return k, err
}

// identity returns the newest valid content. Invalid content does not replace it.
func (k *Keys) identity() *identity {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.lastCheck) < minCheckInterval {
		return k.current
	}
	k.lastCheck = now
	if err := k.reload(); err != nil {
		k.logError(err)
	}
	return k.current
}

// reload replaces the identity if the files have changed and are valid. k.mu is held.
func (k *Keys) reload() error {
	content, err := k.files.read()
	if err != nil {
		return err
	}
	digest := content.digest()
	if digest == k.lastDigest {
		return nil
	}
	k.lastDigest = digest
	next, err := content.parse(k.files)
	if err != nil {
		return err
	}
	k.current = next
	k.lastError = ""
	k.log.Info("TLS files reloaded", zap.String("certificate-file", k.files.Certificate))
	return nil
}

// logError logs an error unless it is the one logged last. The errors name the files and
// the cause, but contain no part of the files. k.mu is held.
func (k *Keys) logError(err error) {
	message := trace.UserMessage(err)
	if message == k.lastError {
		return
	}
	k.lastError = message
	k.log.Error("TLS files rejected; the previous ones remain in use", zap.String("reason", message))
}

// fileContent is the unparsed content of Files.
type fileContent struct{ certificate, key, ca []byte }

func (f Files) read() (fileContent, error) {
	var c fileContent
	var err error
	if c.certificate, err = os.ReadFile(f.Certificate); err != nil {
		return c, trace.ConvertSystemError(err)
	}
	if c.key, err = os.ReadFile(f.Key); err != nil {
		return c, trace.ConvertSystemError(err)
	}
	c.ca, err = os.ReadFile(f.CA)
	return c, trace.ConvertSystemError(err)
}

func (c fileContent) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{c.certificate, c.key, c.ca} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func (c fileContent) parse(files Files) (*identity, error) {
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, trace.BadParameter("certificate %s and key %s do not form a pair: %v", files.Certificate, files.Key, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(c.ca) {
		return nil, trace.BadParameter("%s contains no CA certificate in PEM format", files.CA)
	}
	return &identity{certificate: certificate, authorities: authorities}, nil
}
