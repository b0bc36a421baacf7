package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/settings"
)

func exampleSettings(t testing.TB) string {
	data, err := os.ReadFile("../examples/node.json")
	must.NoError(t, err)
	return string(data)
}

// Two credentials with the same name or token cannot be distinguished in the
// change log or at authentication.
func TestDuplicateCredentialsAndOperatorWithCustomerAreRejected(t *testing.T) {
	text := strings.NewReplacer("customer-secret-0001", "operator-secret-0001", `"name": "menders"`, `"name": "nadia"`,
		`"role": "operator"`, `"role": "operator", "customer": "menders"`).Replace(exampleSettings(t))
	_, err := settings.Parse([]byte(text))
	must.EqError(t, err, "credentials[0].customer: must be empty for role \"operator\"\n"+
		"credentials[1].name: must differ from that of credentials[0]\ncredentials[1].token: must differ from that of credentials[0]")
}

// FuzzParse checks that no error of Parse contains a token.
func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleSettings(f)))
	f.Add([]byte(`{"credentials":[{"token":"a-secret-of-16-ch"},{"token":"a-secret-of-16-ch","role":"customer"}]}`))
	f.Add([]byte(`{"workers":-1,"listen":{"callers":"x"},"platform":{"url":"::"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err == nil {
			return
		}
		for _, credential := range s.Credentials {
			if len(credential.Token) >= 16 && !strings.Contains(string(credential.Customer)+credential.Name, credential.Token) {
				must.StrNotContains(t, err.Error(), credential.Token)
			}
		}
	})
}
