package mesh

import (
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// maxMemberNameBytes bounds each name in a member's record.
const maxMemberNameBytes = 256

// Check returns an error if the record cannot be that of a node: a name is
// missing, too long or has control characters, or an address is not an IP and a
// port. Records from outside are checked before they are used.
func (m Member) Check() error {
	for field, name := range map[string]string{"host": string(m.Host), "zone": string(m.Zone)} {
		if name == "" {
			return eris.Errorf("mesh: member has no %s", field)
		}
	}
	for _, name := range []string{string(m.Host), string(m.Zone), string(m.Region), string(m.Service)} {
		if err := CheckName(name, maxMemberNameBytes); err != nil {
			return err
		}
	}
	if err := CheckAddress(m.PeerAddress); err != nil {
		return err
	}
	if m.ProbeAddress == "" {
		return nil
	}
	return CheckAddress(m.ProbeAddress)
}

// CheckName returns an error if a name is longer than maxBytes, is not valid
// UTF-8 or has control characters.
func CheckName(name string, maxBytes int) error {
	if len(name) > maxBytes {
		return eris.Errorf("mesh: name of %d bytes, the most is %d", len(name), maxBytes)
	}
	if !utf8.ValidString(name) {
		return eris.New("mesh: name is not valid UTF-8")
	}
	if strings.ContainsFunc(name, unicode.IsControl) {
		return eris.Errorf("mesh: name %q has control characters", name)
	}
	return nil
}

// maxQuotedBytes bounds the part of an invalid value that an error quotes.
const maxQuotedBytes = 64

// CheckAddress returns an error if the text is not an IP and a port from 1 to
// 65,535.
func CheckAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return eris.Errorf("mesh: %.*q is not an IP and a port", maxQuotedBytes, text)
	}
	return nil
}
