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

// minCheckInterval is the shortest time between two reads of the files, so that
// many handshakes at once read them once.
const minCheckInterval = time.Second

// Files names PEM files.
type Files struct {
	// Certificate holds the process's own certificate chain, Key its private key.
	Certificate string
	Key         string
	// CA holds the certificates that sign those of the other side.
	CA string
}

// Keys holds a certificate, its key and a CA, and reads their files again at a
// handshake when they have changed. It is safe for concurrent use.
type Keys struct {
	files Files
	log   *zap.Logger

	mu        sync.Mutex
	current   *identity
	lastCheck time.Time
	// lastDigest is the digest of the content that was read last, valid or not.
	lastDigest [sha256.Size]byte
	// lastError is the last message logged about the files.
	lastError string
}

// identity is what one valid content of the files holds.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadKeys reads the files for the first time.
func LoadKeys(files Files, log *zap.Logger) (*Keys, error) {
	k := &Keys{files: files, log: log}
	fileContent, err := files.read()
	if err != nil {
		return nil, err
	}
	k.lastDigest = fileContent.digest()
	k.lastCheck = time.Now()
	k.current, err = fileContent.parse(files)
	return k, err
}

// identity returns the newest valid content. A bad new content keeps the old one.
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
	k.log.Info("TLS files read again", zap.String("certificate-file", k.files.Certificate))
	return nil
}

// logError logs a problem once. Errors name files and what is wrong with them, but
// hold none of their content.
func (k *Keys) logError(err error) {
	message := trace.UserMessage(err)
	if message == k.lastError {
		return
	}
	k.lastError = message
	k.log.Error("TLS files rejected; the previous ones stay in use", zap.String("reason", message))
}

// content is the content of Files.
type content struct{ certificate, key, ca []byte }

func (f Files) read() (content, error) {
	var c content
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

func (c content) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{c.certificate, c.key, c.ca} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func (c content) parse(files Files) (*identity, error) {
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, trace.BadParameter("certificate %s and key %s do not form a pair: %v", files.Certificate, files.Key, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(c.ca) {
		return nil, trace.BadParameter("%s holds no CA certificate in PEM form", files.CA)
	}
	return &identity{certificate: certificate, authorities: authorities}, nil
}
