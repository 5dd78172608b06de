//! A small JSON reader, enough for the bodies that the store is sent.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        if let Json::Table(fields) = self {
            if let Some((_, value)) = fields.iter().find(|(field, _)| field == name) {
                return value;
            }
        }
        &Json::Null
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        skip_space(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, value(text, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Table(fields))
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        b'"' => string(text, at).map(Json::Text),
        b't' => word(text, at, "true", Json::Bool(true)),
        b'f' => word(text, at, "false", Json::Bool(false)),
        b'n' => word(text, at, "null", Json::Null),
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&text[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn word(text: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    if !text[*at..].starts_with(word.as_bytes()) {
        return None;
    }
    *at += word.len();
    Some(value)
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match *text.get(*at)? {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(text.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buf = [0; 4];
                        let c = char::from_u32(code).unwrap_or('?');
                        bytes.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                        *at += 4;
                    }
                    other => bytes.push(other),
                }
                *at += 1;
            }
            byte => {
                bytes.push(byte);
                *at += 1;
            }
        }
    }
    *at += 1;
    String::from_utf8(bytes).ok()
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= part.len() {
                text.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
