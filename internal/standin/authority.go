package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/gravitational/trace"
)

// certificateValidity is how long certificates of an Authority are valid.
const certificateValidity = 30 * 24 * time.Hour

// Authority signs certificates for tests of TLS. It is not safe for concurrent use.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
	// PEM is the authority's certificate.
	PEM []byte
}

// KeyPair is a certificate and its key in PEM form.
type KeyPair struct{ Certificate, Key []byte }

// NewAuthority returns an authority with a new key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := newTemplate(1, name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Authority{key: key, certificate: certificate, serial: 1, PEM: certificatePEM(der)}, nil
}

// Sign returns a new certificate for servers and clients and its key. Hosts are DNS
// names and IP addresses.
func (a *Authority) Sign(name string, hosts ...string) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	a.serial++
	template := newTemplate(a.serial, name)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	block := &pem.Block{Type: "PRIVATE KEY", Bytes: encoded}
	return KeyPair{Certificate: certificatePEM(der), Key: pem.EncodeToMemory(block)}, nil
}

func newTemplate(serial int64, name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateValidity),
	}
}

func certificatePEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}
