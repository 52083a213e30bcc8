//! Reads one setting from its flag, its environment variable or its default, in this order. Errors
//! name the setting.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use snafu::Snafu;

/// Why the process could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// A setting is missing or does not parse.
    #[snafu(display("setting --{flag} (or {env}): {problem}"))]
    Setting { flag: &'static str, env: &'static str, problem: String },
    /// The listening socket could not be bound.
    #[snafu(display("binding {addr}: {source}"))]
    Bind { addr: String, source: std::io::Error },
    /// A step that the command needs has failed.
    #[snafu(display("{message}"))]
    Failed { message: String },
}

/// Returns the value of setting `flag`: the flag's value if given, else the environment variable
/// `env`, else `default`. Fails if none is set or the variable does not parse.
pub fn resolve<T>(
    flag: &'static str,
    env: &'static str,
    flag_value: Option<T>,
    default: Option<T>,
) -> Result<T, StartError>
where
    T: FromStr,
    T::Err: Display,
{
    if let Some(value) = flag_value {
        return Ok(value);
    }
    match std::env::var(env) {
        Ok(text) => text.parse().map_err(|error: T::Err| StartError::Setting {
            flag,
            env,
            problem: format!("`{text}`: {error}"),
        }),
        Err(_) => {
            default.ok_or_else(|| StartError::Setting { flag, env, problem: "is required".into() })
        }
    }
}

/// Like [`resolve`], for a value that must lie in `range`.
pub fn resolve_within<T>(
    flag: &'static str,
    env: &'static str,
    flag_value: Option<T>,
    default: T,
    range: RangeInclusive<T>,
) -> Result<T, StartError>
where
    T: FromStr + Display + PartialOrd,
    T::Err: Display,
{
    let value = resolve(flag, env, flag_value, Some(default))?;
    if range.contains(&value) {
        return Ok(value);
    }
    let problem = format!("{value} is outside {}..={}", range.start(), range.end());
    Err(StartError::Setting { flag, env, problem })
}

/// Like [`resolve`], for a flag given as text that must parse as `T`.
pub fn resolve_parsed<T>(
    flag: &'static str,
    env: &'static str,
    flag_value: Option<String>,
    default: &str,
) -> Result<T, StartError>
where
    T: FromStr,
    T::Err: Display,
{
    let text = resolve(flag, env, flag_value, Some(default.to_owned()))?;
    text.parse().map_err(|error: T::Err| StartError::Setting {
        flag,
        env,
        problem: format!("`{text}`: {error}"),
    })
}
