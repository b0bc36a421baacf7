package probe

import (
	"net/netip"

	"github.com/rotisserie/eris"
)

// packAddress encodes IP:port in binary form; an empty text as no bytes.
func packAddress(text string) ([]byte, error) {
	if text == "" {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, eris.Wrap(err, "probe: parse address")
	}
	return address.MarshalBinary()
}

// unpackAddress decodes the result of packAddress. Addresses with an IPv6 zone
// are malformed.
func unpackAddress(data []byte) (string, error) {
	if len(data) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(data); err != nil {
		return "", eris.Wrap(err, "probe: decode address")
	}
	if address.Addr().Zone() != "" || !address.IsValid() || address.Port() == 0 {
		return "", ErrMalformed
	}
	return address.String(), nil
}
