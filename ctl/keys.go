package ctl

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Lifetimes of certificates. Hosts are replaced more often than the authority.
const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	hostLifetime      = 365 * 24 * time.Hour
	// clockSkew is subtracted from the start of a certificate's validity, so that hosts
	// whose clocks are behind accept a new certificate.
	clockSkew = 5 * time.Minute
)

// Names of the files in the directory of keys.
const (
	authorityName = "ca"
	keySuffix     = "-key.pem"
	certSuffix    = ".pem"
)

// randomKeyBytes is the length of a random key, which makes it infeasible to guess.
const randomKeyBytes = 32

func (e *env) keysGroup() *command {
	return e.group("keys", "Create keys and certificates", e.authorityCommand(), e.hostCommand(), e.randomCommand())
}

func (e *env) authorityCommand() *command {
	var dir string
	return &command{env: e, name: "ca", args: "-dir DIRECTORY", synopsis: "Create the certificate authority of a fleet",
		flags: func(f *flag.FlagSet) { f.StringVar(&dir, "dir", ".", "directory for ca.pem and ca-key.pem") },
		run: func(context.Context, []string) error {
			template := newTemplate("lacewing fleet", authorityLifetime)
			template.IsCA, template.BasicConstraintsValid = true, true
			template.KeyUsage = x509.KeyUsageCertSign
			return e.issue(dir, authorityName, template, nil)
		}}
}

func (e *env) hostCommand() *command {
	var dir, host, ip string
	return &command{env: e, name: "host", args: "-dir DIRECTORY -host ID -ip ADDRESS",
		synopsis: "Create the certificate of a router",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dir, "dir", ".", "directory that contains ca.pem and ca-key.pem")
			f.StringVar(&host, "host", "", "host id")
			f.StringVar(&ip, "ip", "", "IP address of the host")
		},
		run: func(context.Context, []string) error {
			address := net.ParseIP(ip)
			if host == "" || host != filepath.Base(host) || host == authorityName || address == nil {
				return usagef("-host must be a host id, and -ip must be an IP address")
			}
			authority, err := loadAuthority(dir)
			if err != nil {
				return failuref("cannot use the certificate authority in %s: %v", dir, err)
			}
			template := newTemplate(host, hostLifetime)
			template.DNSNames, template.IPAddresses = []string{host}, []net.IP{address}
			template.KeyUsage = x509.KeyUsageDigitalSignature
			template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
			return e.issue(dir, host, template, authority)
		}}
}

func newTemplate(name string, lifetime time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew),
		NotAfter:  now.Add(lifetime),
	}
}

// signer is a certificate with its private key.
type signer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// issue creates a key and its certificate and writes both. The certificate is signed by
// authority, or self-signed if authority is nil.
func (e *env) issue(dir, name string, template *x509.Certificate, authority *signer) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	if authority == nil {
		authority = &signer{template, key}
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	base := filepath.Join(dir, name)
	if err := writePEM(base+keySuffix, "PRIVATE KEY", private, 0o600); err != nil {
		return err
	}
	if err := writePEM(base+certSuffix, "CERTIFICATE", certificate, 0o644); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "wrote %s and %s\n", base+certSuffix, base+keySuffix)
	return nil
}

// writePEM writes a PEM file. It never replaces a file, because an overwritten key
// cannot be recovered.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return failuref("cannot write %s: %v", path, err)
	}
	if err := pem.Encode(file, &pem.Block{Type: kind, Bytes: der}); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func loadAuthority(dir string) (*signer, error) {
	base := filepath.Join(dir, authorityName)
	der, err := readPEM(base + certSuffix)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	if der, err = readPEM(base + keySuffix); err != nil {
		return nil, err
	}
	private, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, err
	}
	key, ok := private.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.New("private key is not an ECDSA key")
	}
	return &signer{certificate, key}, nil
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, eris.Errorf("%s is not a PEM file", path)
	}
	return block.Bytes, nil
}

func (e *env) randomCommand() *command {
	return &command{env: e, name: "random", synopsis: "Print a random caller or operator key and its SHA-256",
		run: func(context.Context, []string) error {
			raw := make([]byte, randomKeyBytes)
			if _, err := io.ReadFull(rand.Reader, raw); err != nil {
				return err
			}
			key := base64.RawURLEncoding.EncodeToString(raw)
			sum := sha256.Sum256([]byte(key))
			fmt.Fprintf(e.out, "key    %s\nsha256 %s\n", key, hex.EncodeToString(sum[:]))
			return nil
		}}
}
