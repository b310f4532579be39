//! A minimal JSON parser, for the bodies that nodes send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn take(chars: &[char], at: &mut usize, expected: char) -> Option<()> {
    skip(chars, at);
    (chars.get(*at) == Some(&expected)).then(|| *at += 1)
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            if take(chars, at, '}').is_some() {
                return Some(Json::Table(table));
            }
            loop {
                skip(chars, at);
                let name = string(chars, at)?;
                take(chars, at, ':')?;
                table.insert(name, value(chars, at)?);
                if take(chars, at, ',').is_none() {
                    take(chars, at, '}')?;
                    return Some(Json::Table(table));
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            if take(chars, at, ']').is_some() {
                return Some(Json::List(list));
            }
            loop {
                list.push(value(chars, at)?);
                if take(chars, at, ',').is_none() {
                    take(chars, at, ']')?;
                    return Some(Json::List(list));
                }
            }
        }
        '"' => string(chars, at).map(Json::Text),
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    take(chars, at, '"')?;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    'r' => text.push('\r'),
                    't' => text.push('\t'),
                    'u' => {
                        let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
