package front

import (
	"fmt"

	"github.com/go-faster/jx"

	"github.com/azurespan/azurespan/internal/api/oas"
)

// checkMessages checks what the OpenAPI description doesn't express: content
// is a string, a list of parts that have a type, or, for an assistant's
// message, null or absent.
func checkMessages(ms []oas.ChatMessage) error {
	for i, m := range ms {
		field := fmt.Sprintf("messages[%d].content", i)
		d := jx.DecodeBytes(m.Content)
		switch d.Next() {
		case jx.String:
		case jx.Array:
			if err := checkParts(d, field); err != nil {
				return err
			}
		case jx.Null, jx.Invalid:
			if m.Role != oas.ChatMessageRoleAssistant {
				return badField(field, "is missing")
			}
		default:
			return badField(field, "must be a string or a list of content parts")
		}
	}
	return nil
}

func checkParts(d *jx.Decoder, field string) error {
	n := 0
	err := d.Arr(func(d *jx.Decoder) error {
		part := fmt.Sprintf("%s[%d]", field, n)
		n++
		if d.Next() != jx.Object {
			return badField(part, "must be an object")
		}
		typed := false
		err := d.Obj(func(d *jx.Decoder, key string) error {
			if key != "type" {
				return d.Skip()
			}
			if d.Next() != jx.String {
				return badField(part+".type", "must be a string")
			}
			typed = true
			return d.Skip()
		})
		if err == nil && !typed {
			return badField(part+".type", "is missing")
		}
		return err
	})
	if err != nil {
		return err
	}
	if n == 0 {
		return badField(field, "has no parts")
	}
	return nil
}
