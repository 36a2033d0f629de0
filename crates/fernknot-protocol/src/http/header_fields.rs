//! Header fields of a received head, in one allocation for all texts.

/// Ends of a field's name and value in the text; a name begins where the field before it ends.
#[derive(Clone, Copy, Debug)]
struct FieldEnds {
    name: usize,
    value: usize,
}

/// Header fields in the order received.
#[derive(Clone, Debug, Default)]
pub struct HeaderFields {
    text: String,
    ends: Vec<FieldEnds>,
}

impl HeaderFields {
    /// Copies parsed fields. Bytes of values that are not UTF-8 are replaced.
    pub(super) fn new(parsed: &[httparse::Header]) -> HeaderFields {
        let bytes = parsed.iter().map(|field| field.name.len() + field.value.len()).sum();
        let mut fields =
            HeaderFields { text: String::with_capacity(bytes), ends: Vec::with_capacity(parsed.len()) };
        for field in parsed {
            fields.text.push_str(field.name);
            let name = fields.text.len();
            fields.text.push_str(&String::from_utf8_lossy(field.value));
            fields.ends.push(FieldEnds { name, value: fields.text.len() });
        }
        fields
    }

    /// Returns the names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let starts = std::iter::once(0).chain(self.ends.iter().map(|ends| ends.value));
        let fields = starts.zip(&self.ends);
        fields.map(|(start, ends)| (&self.text[start..ends.name], &self.text[ends.name..ends.value]))
    }

    /// Returns the value of the first field of this name, compared without regard to case.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}
