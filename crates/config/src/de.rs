//! A serde deserializer over a [`Node`]. Its errors carry the path of the invalid value.

use std::fmt;

use serde::de::{
    DeserializeSeed, Deserializer, EnumAccess, Expected, IntoDeserializer, MapAccess, SeqAccess,
    Unexpected, VariantAccess, Visitor, value::StrDeserializer,
};
use serde::forward_to_deserialize_any;

use crate::path::{Path, Segment};
use crate::tree::{Entry, Node, Value};

/// A deserialization error at a path.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Error {
    pub(crate) path: Path,
    /// True if the error is in the key at the end of the path rather than in its value.
    pub(crate) in_key: bool,
    pub(crate) kind: ErrorKind,
    pub(crate) message: String,
}

/// Kind of an error. It decides how the reader recovers to check the rest of the document.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ErrorKind {
    /// The value has a wrong type or is invalid.
    InvalidValue,
    /// The type has no such field.
    UnknownField,
    /// The mapping lacks this required field.
    MissingField(&'static str),
}

impl Error {
    fn new(message: String, kind: ErrorKind) -> Self {
        Self {
            path: Path::root(),
            in_key: false,
            kind,
            message,
        }
    }

    fn prepend(mut self, segment: Segment) -> Self {
        self.path.prepend(segment);
        self
    }

    /// Extends an error from the value `node`, which is at `segment` of the enclosing value.
    fn in_child(mut self, node: &Node, segment: Segment) -> Self {
        match &node.value {
            // Errors of `FromStr` give only the reason; the message also needs the text.
            Value::Scalar { text, .. }
                if self.path.is_root() && !self.message.contains(text.as_str()) =>
            {
                self.message = match self.message.as_str() {
                    "invalid socket address syntax" => format!("\"{text}\" is not IP:PORT"),
                    reason => format!("\"{text}\" {reason}"),
                };
            }
            _ => {}
        }
        self.prepend(segment)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl serde::de::Error for Error {
    fn custom<T>(msg: T) -> Self
    where
        T: fmt::Display,
    {
        Self::new(msg.to_string(), ErrorKind::InvalidValue)
    }

    fn invalid_type(unexp: Unexpected<'_>, exp: &dyn Expected) -> Self {
        Self::new(
            format!("expected {exp}, found {unexp}"),
            ErrorKind::InvalidValue,
        )
    }

    fn invalid_value(unexp: Unexpected<'_>, exp: &dyn Expected) -> Self {
        Self::invalid_type(unexp, exp)
    }

    fn unknown_variant(variant: &str, expected: &'static [&'static str]) -> Self {
        let message = format!("expected {}, found \"{variant}\"", one_of(expected));
        Self::new(message, ErrorKind::InvalidValue)
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        let message = format!("unknown field \"{field}\", expected {}", one_of(expected));
        Self::new(message, ErrorKind::UnknownField)
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(
            format!("missing field \"{field}\""),
            ErrorKind::MissingField(field),
        )
    }
}

fn one_of(names: &[&str]) -> String {
    match names {
        [] => "nothing".to_owned(),
        [name] => format!("\"{name}\""),
        names => {
            let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
            format!("one of {}", quoted.join(", "))
        }
    }
}

impl Node {
    /// Describes the value for an error message.
    fn describe(&self) -> String {
        match &self.value {
            _ if self.is_null() => "nothing".to_owned(),
            Value::Scalar { text, plain: true } => text.clone(),
            Value::Scalar { text, plain: false } => format!("\"{text}\""),
            Value::List(_) => "a list".to_owned(),
            Value::Map(_) => "a mapping".to_owned(),
        }
    }

    fn type_error(&self, expected: &str) -> Error {
        let message = format!("expected {expected}, found {}", self.describe());
        Error::new(message, ErrorKind::InvalidValue)
    }

    /// Returns the text of an unquoted scalar.
    fn plain_text(&self) -> Option<&str> {
        match &self.value {
            Value::Scalar { text, plain: true } => Some(text),
            _ => None,
        }
    }

    fn integer<'de, V>(&self, min: i64, max: u64, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        let number = self.plain_text().and_then(|text| text.parse::<i128>().ok());
        let out_of_range = || self.type_error(&format!("a whole number from {min} to {max}"));
        match number {
            Some(n) if n < i128::from(min) || n > i128::from(max) => Err(out_of_range()),
            Some(n) if n < 0 => visitor.visit_i64(i64::try_from(n).ok().ok_or_else(out_of_range)?),
            Some(n) => visitor.visit_u64(u64::try_from(n).ok().ok_or_else(out_of_range)?),
            None => Err(out_of_range()),
        }
    }
}

macro_rules! integers {
    ($($method:ident($type:ty, $min:expr),)*) => {$(
        fn $method<V>(self, visitor: V) -> Result<V::Value, Error>
        where
            V: Visitor<'de>,
        {
            self.integer($min, <$type>::MAX.into(), visitor)
        }
    )*};
}

impl<'de> Deserializer<'de> for &'de Node {
    type Error = Error;

    fn deserialize_any<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        match &self.value {
            _ if self.is_null() => visitor.visit_unit(),
            Value::Scalar { text, .. } => visitor.visit_borrowed_str(text),
            Value::List(_) => self.deserialize_seq(visitor),
            Value::Map(_) => self.deserialize_map(visitor),
        }
    }

    integers! {
        deserialize_u8(u8, 0),
        deserialize_u16(u16, 0),
        deserialize_u32(u32, 0),
        deserialize_u64(u64, 0),
    }

    fn deserialize_i64<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        self.integer(i64::MIN, i64::MAX.cast_unsigned(), visitor)
    }

    fn deserialize_bool<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        match self.plain_text() {
            Some("true") => visitor.visit_bool(true),
            Some("false") => visitor.visit_bool(false),
            _ => Err(self.type_error("true or false")),
        }
    }

    fn deserialize_f32<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        self.deserialize_f64(visitor)
    }

    fn deserialize_f64<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        // Infinities and NaN are invalid in every field of this crate.
        match self.plain_text().and_then(|text| text.parse::<f64>().ok()) {
            Some(number) if number.is_finite() => visitor.visit_f64(number),
            _ => Err(self.type_error("a number")),
        }
    }

    fn deserialize_str<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        match &self.value {
            Value::Scalar { text, .. } if !self.is_null() => visitor.visit_borrowed_str(text),
            _ => Err(self.type_error("a text")),
        }
    }

    fn deserialize_string<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        self.deserialize_str(visitor)
    }

    fn deserialize_option<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        if self.is_null() {
            visitor.visit_none()
        } else {
            visitor.visit_some(self)
        }
    }

    fn deserialize_newtype_struct<V>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        match &self.value {
            Value::List(items) => visitor.visit_seq(ListAccess { items, next: 0 }),
            _ => Err(self.type_error("a list")),
        }
    }

    fn deserialize_map<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        match &self.value {
            Value::Map(entries) => visitor.visit_map(EntryAccess { entries, next: 0 }),
            _ => Err(self.type_error("a mapping")),
        }
    }

    fn deserialize_struct<V>(
        self,
        _name: &'static str,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        self.deserialize_map(visitor)
    }

    fn deserialize_enum<V>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        match &self.value {
            Value::Scalar { text, .. } if !self.is_null() => visitor.visit_enum(EnumValue {
                name: text,
                value: None,
            }),
            Value::Map(entries) => match entries.as_slice() {
                [entry] => visitor.visit_enum(EnumValue {
                    name: &entry.key,
                    value: Some(&entry.value),
                }),
                _ => Err(self.type_error(&format!("a mapping with {}", one_of(variants)))),
            },
            _ => Err(self.type_error(&one_of(variants))),
        }
    }

    fn deserialize_identifier<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        self.deserialize_str(visitor)
    }

    fn deserialize_ignored_any<V>(self, visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        visitor.visit_unit()
    }

    forward_to_deserialize_any! {
        i8 i16 i32 i128 u128 char bytes byte_buf unit unit_struct tuple tuple_struct
    }
}

struct ListAccess<'de> {
    items: &'de [Node],
    next: usize,
}

impl<'de> SeqAccess<'de> for ListAccess<'de> {
    type Error = Error;

    fn next_element_seed<T>(&mut self, seed: T) -> Result<Option<T::Value>, Error>
    where
        T: DeserializeSeed<'de>,
    {
        let Some(item) = self.items.get(self.next) else {
            return Ok(None);
        };
        let segment = Segment::Index(self.next);
        self.next += 1;
        seed.deserialize(item)
            .map(Some)
            .map_err(|e| e.in_child(item, segment))
    }
}

struct EntryAccess<'de> {
    entries: &'de [Entry],
    next: usize,
}

impl<'de> MapAccess<'de> for EntryAccess<'de> {
    type Error = Error;

    fn next_key_seed<K>(&mut self, seed: K) -> Result<Option<K::Value>, Error>
    where
        K: DeserializeSeed<'de>,
    {
        let Some(entry) = self.entries.get(self.next) else {
            return Ok(None);
        };
        let key: StrDeserializer<'_, Error> = entry.key.as_str().into_deserializer();
        seed.deserialize(key).map(Some).map_err(|mut error| {
            error.in_key = true;
            error.prepend(Segment::Key(entry.key.clone()))
        })
    }

    fn next_value_seed<T>(&mut self, seed: T) -> Result<T::Value, Error>
    where
        T: DeserializeSeed<'de>,
    {
        let Some(entry) = self.entries.get(self.next) else {
            return Err(Error::new(
                "no value is left".to_owned(),
                ErrorKind::InvalidValue,
            ));
        };
        self.next += 1;
        seed.deserialize(&entry.value)
            .map_err(|e| e.in_child(&entry.value, Segment::Key(entry.key.clone())))
    }
}

struct EnumValue<'de> {
    name: &'de str,
    value: Option<&'de Node>,
}

impl<'de> EnumAccess<'de> for EnumValue<'de> {
    type Error = Error;
    type Variant = Self;

    fn variant_seed<T>(self, seed: T) -> Result<(T::Value, Self), Error>
    where
        T: DeserializeSeed<'de>,
    {
        let name: StrDeserializer<'_, Error> = self.name.into_deserializer();
        match seed.deserialize(name) {
            Ok(variant) => Ok((variant, self)),
            Err(mut error) if self.value.is_some() => {
                error.in_key = true;
                Err(error.prepend(Segment::Key(self.name.to_owned())))
            }
            Err(error) => Err(error),
        }
    }
}

impl<'de> VariantAccess<'de> for EnumValue<'de> {
    type Error = Error;

    fn unit_variant(self) -> Result<(), Error> {
        match self.value {
            None => Ok(()),
            Some(_) => Err(Error::new(
                format!("\"{}\" takes no value", self.name),
                ErrorKind::InvalidValue,
            )),
        }
    }

    fn newtype_variant_seed<T>(self, seed: T) -> Result<T::Value, Error>
    where
        T: DeserializeSeed<'de>,
    {
        match self.value {
            Some(value) => seed
                .deserialize(value)
                .map_err(|e| e.in_child(value, Segment::Key(self.name.to_owned()))),
            None => Err(Error::new(
                format!("\"{0}\" needs a value, as in \"{0}: VALUE\"", self.name),
                ErrorKind::InvalidValue,
            )),
        }
    }

    fn tuple_variant<V>(self, _len: usize, _visitor: V) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        Err(self.unsupported())
    }

    fn struct_variant<V>(
        self,
        _fields: &'static [&'static str],
        _visitor: V,
    ) -> Result<V::Value, Error>
    where
        V: Visitor<'de>,
    {
        Err(self.unsupported())
    }
}

impl EnumValue<'_> {
    /// Tuple and struct variants: no document of this crate has them.
    fn unsupported(&self) -> Error {
        let message = format!("\"{}\" with several values is not supported", self.name);
        Error::new(message, ErrorKind::InvalidValue)
    }
}
