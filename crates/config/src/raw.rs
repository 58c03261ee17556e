//! Unchecked document: the types of its values are checked, their ranges and relations aren't.

use crate::collector::FaultCollector;
use crate::read::{Located, Reader, Section};

/// Unchecked document with the faults found while reading it.
#[derive(Debug, Default)]
pub struct RawDocument {
    pub(crate) tenant: Option<Located<String>>,
    pub(crate) data_centres: Vec<RawDataCentre>,
    pub(crate) services: Vec<RawService>,
    pub(crate) retired_data_centres: Vec<RawRetired>,
    pub(crate) retired_services: Vec<RawRetired>,
    pub(crate) faults: FaultCollector,
}

/// Unchecked name and number of a removed data centre or service.
#[derive(Debug)]
pub(crate) struct RawRetired {
    pub(crate) prefix: String,
    pub(crate) name: Option<Located<String>>,
    pub(crate) number: Option<Located<i64>>,
}

#[derive(Debug)]
pub(crate) struct RawDataCentre {
    pub(crate) prefix: String,
    pub(crate) name: Option<Located<String>>,
    pub(crate) number: Option<Located<i64>>,
    pub(crate) region: Option<Located<String>>,
    pub(crate) group: Option<Located<i64>>,
}

#[derive(Debug)]
pub(crate) struct RawService {
    pub(crate) prefix: String,
    pub(crate) name: Option<Located<String>>,
    pub(crate) number: Option<Located<i64>>,
    pub(crate) addresses: Option<Located<Vec<Located<String>>>>,
    pub(crate) slots: Option<Located<i64>>,
    pub(crate) connections: Option<Located<i64>>,
    pub(crate) cold_share: Option<Located<f64>>,
    pub(crate) classes: Vec<RawClass>,
    pub(crate) line: usize,
}

#[derive(Debug)]
pub(crate) struct RawClass {
    pub(crate) prefix: String,
    pub(crate) name: Option<Located<String>>,
    pub(crate) method: Option<Located<String>>,
    pub(crate) path: Option<Located<String>>,
    pub(crate) stream: bool,
    pub(crate) idempotent: Option<Located<bool>>,
    pub(crate) weight: Option<Located<i64>>,
    pub(crate) deadline: Option<Located<i64>>,
    pub(crate) line: usize,
}

impl RawDocument {
    /// Reads a text. The conversion to a [`crate::Document`] reports the faults.
    pub fn read(text: &str) -> Self {
        let mut reader = Reader::new(text);
        let mut raw = reader.parse(read_root).unwrap_or_default();
        raw.faults = reader.faults;
        raw
    }
}

fn read_root(reader: &mut Reader<'_>, root: &Section<'_>) -> RawDocument {
    let retired = ["retired_data_centre", "retired_service"];
    reader.reject_unknown_keys(
        root,
        &["tenant", "data_centre", "service", retired[0], retired[1]],
    );
    let tenant = reader.string(root, "tenant");
    let data_centres = reader.tables(root, "data_centre", Some("[[data_centre]]"));
    let services = reader.tables(root, "service", Some("[[service]]"));
    RawDocument {
        tenant,
        data_centres: data_centres
            .iter()
            .map(|section| read_data_centre(reader, section))
            .collect(),
        services: services
            .iter()
            .map(|section| read_service(reader, section))
            .collect(),
        retired_data_centres: read_retired(reader, root, retired[0]),
        retired_services: read_retired(reader, root, retired[1]),
        faults: FaultCollector::default(),
    }
}

fn read_retired(reader: &mut Reader<'_>, root: &Section<'_>, key: &str) -> Vec<RawRetired> {
    let sections = reader.tables(root, key, None);
    let read = |section: &Section<'_>| {
        reader.reject_unknown_keys(section, &["name", "number"]);
        RawRetired {
            prefix: section.prefix.clone(),
            name: reader.string(section, "name"),
            number: reader.integer(section, "number"),
        }
    };
    sections.iter().map(read).collect()
}

fn read_data_centre(reader: &mut Reader<'_>, section: &Section<'_>) -> RawDataCentre {
    reader.reject_unknown_keys(section, &["name", "number", "region", "group"]);
    RawDataCentre {
        prefix: section.prefix.clone(),
        name: reader.string(section, "name"),
        number: reader.integer(section, "number"),
        region: reader.string(section, "region"),
        group: reader.optional_integer(section, "group"),
    }
}

fn read_service(reader: &mut Reader<'_>, section: &Section<'_>) -> RawService {
    let known = [
        "name",
        "number",
        "addresses",
        "slots",
        "connections",
        "cold_share",
        "class",
    ];
    reader.reject_unknown_keys(section, &known);
    let classes = reader.tables(section, "class", Some("[[service.class]]"));
    RawService {
        prefix: section.prefix.clone(),
        name: reader.string(section, "name"),
        number: reader.integer(section, "number"),
        addresses: reader.strings(section, "addresses"),
        slots: reader.integer(section, "slots"),
        connections: reader.integer(section, "connections"),
        cold_share: reader.float(section, "cold_share"),
        classes: classes
            .iter()
            .map(|section| read_class(reader, section))
            .collect(),
        line: section.line,
    }
}

fn read_class(reader: &mut Reader<'_>, section: &Section<'_>) -> RawClass {
    let known = [
        "name",
        "method",
        "path",
        "stream",
        "idempotent",
        "weight",
        "deadline_ms",
    ];
    reader.reject_unknown_keys(section, &known);
    RawClass {
        prefix: section.prefix.clone(),
        name: reader.string(section, "name"),
        method: reader.string(section, "method"),
        path: reader.string(section, "path"),
        stream: reader
            .optional_boolean(section, "stream")
            .is_some_and(|stream| stream.value),
        idempotent: reader.boolean(section, "idempotent"),
        weight: reader.integer(section, "weight"),
        deadline: reader.optional_integer(section, "deadline_ms"),
        line: section.line,
    }
}
