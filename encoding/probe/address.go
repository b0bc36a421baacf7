package probe

import (
	"net/netip"

	"github.com/rotisserie/eris"
)

// packAddress turns IP:port into bytes; an empty text has none.
func packAddress(text string) ([]byte, error) {
	if text == "" {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, eris.Wrap(err, "probe: address")
	}
	return address.MarshalBinary()
}

// unpackAddress is the reverse of packAddress.
func unpackAddress(data []byte) (string, error) {
	if len(data) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(data); err != nil {
		return "", eris.Wrap(err, "probe: address")
	}
	if address.Addr().Zone() != "" || !address.IsValid() {
		return "", ErrMalformed
	}
	return address.String(), nil
}
