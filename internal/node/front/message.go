package front

import (
	"fmt"

	"github.com/go-faster/jx"

	"github.com/azurespan/azurespan/internal/api/oas"
)

// checkMessages checks a rule that the OpenAPI description doesn't express:
// content is a string, a list of parts that have a type, or, for an assistant's
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
				return fieldErrorf(field, "is missing")
			}
		default:
			return fieldErrorf(field, "must be a string or a list of content parts")
		}
	}
	return nil
}

// checkParts checks that each content part is an object with a type.
func checkParts(d *jx.Decoder, field string) error {
	parts := 0
	err := d.Arr(func(d *jx.Decoder) error {
		partField := fmt.Sprintf("%s[%d]", field, parts)
		parts++
		if d.Next() != jx.Object {
			return fieldErrorf(partField, "must be an object")
		}
		hasType := false
		err := d.Obj(func(d *jx.Decoder, key string) error {
			if key != "type" {
				return d.Skip()
			}
			if d.Next() != jx.String {
				return fieldErrorf(partField+".type", "must be a string")
			}
			hasType = true
			return d.Skip()
		})
		if err == nil && !hasType {
			return fieldErrorf(partField+".type", "is missing")
		}
		return err
	})
	if err != nil {
		return err
	}
	if parts == 0 {
		return fieldErrorf(field, "has no parts")
	}
	return nil
}
