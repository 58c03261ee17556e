//! Checks of the classes of a service.

use monsoon_model::Duration;

use crate::check::Checker;
use crate::document::Class;
use crate::fault::FaultKind;
use crate::raw::RawClass;
use crate::rule;
use crate::unique::Unique;

/// Most classes of a service; each target has a queue per class.
const MAX_CLASSES: usize = 32;
/// Largest weight of a class; a larger ratio between weights starves the other classes.
const MAX_WEIGHT: i64 = 1_000;
/// Longest deadline in milliseconds; one hour is enough for the slowest upload.
const MAX_DEADLINE_MS: i64 = 3_600_000;

impl Checker {
    pub(crate) fn classes(
        &mut self,
        prefix: &str,
        line: usize,
        raws: Vec<RawClass>,
    ) -> Option<Vec<Class>> {
        if raws.len() > MAX_CLASSES {
            let kind = FaultKind::TooMany {
                count: raws.len(),
                limit: MAX_CLASSES,
            };
            self.fault(format!("{prefix}class"), line, kind);
        }
        let mut names = Unique::new("name");
        let mut routes = Unique::new("method or path");
        let mut classes = Vec::new();
        for raw in raws {
            if let Some(name) = &raw.name {
                let key = format!("{}name", raw.prefix);
                names.add(name.value.clone(), key, name.line, self.faults());
            }
            if let (Some(method), Some(path)) = (&raw.method, &raw.path) {
                let route = format!("{} {}", method.value, path.value);
                routes.add(
                    route,
                    format!("{}path", raw.prefix),
                    path.line,
                    self.faults(),
                );
            }
            classes.push(self.class(raw));
        }
        classes.into_iter().collect()
    }

    fn class(&mut self, raw: RawClass) -> Option<Class> {
        let (prefix, stream) = (&raw.prefix, raw.stream);
        let deadline_key = format!("{prefix}deadline_ms");
        match &raw.deadline {
            None if !stream => self.fault(deadline_key.clone(), raw.line, FaultKind::NoDeadline),
            Some(deadline) if stream => {
                self.fault(
                    deadline_key.clone(),
                    deadline.line,
                    FaultKind::StreamDeadline,
                );
            }
            _ => {}
        }
        let name = self.name(format!("{prefix}name"), raw.name);
        let method = format!("{prefix}method");
        let method = self.text(method, raw.method, rule::is_method, rule::METHOD_FORM);
        let path = self.text(
            format!("{prefix}path"),
            raw.path,
            rule::is_path,
            rule::PATH_FORM,
        );
        let weight = self.count(prefix, raw.weight, "weight", MAX_WEIGHT);
        let deadline = self.range(deadline_key, raw.deadline, &(1..=MAX_DEADLINE_MS));
        let deadline = deadline
            .and_then(|ms| u64::try_from(ms).ok())
            .map(Duration::from_millis);
        Some(Class {
            name: name?,
            method: method?,
            path: path?,
            stream,
            idempotent: raw.idempotent?.value,
            weight: weight?,
            deadline,
        })
    }
}
