//! Lists of objects, which the platform's store returns page by page.

use std::collections::HashSet;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::object::{Metadata, Object};
use crate::unit::{Era, Position};

/// Most pages of a list; a page has some hundred objects.
const MAX_PAGES: usize = 1000;

/// All objects of a kind at one revision of the store.
#[derive(Debug, Deserialize)]
#[serde(from = "Page")]
pub struct Listing {
    /// Objects, in the store's order. Those without a name that decodes are left out.
    pub items: Vec<Object>,
    position: Position,
}

impl Listing {
    /// Returns the position of the store that the list reflects. Changes after it are read by a
    /// watch.
    pub fn position(&self) -> Position {
        self.position
    }
}

impl From<Page> for Listing {
    fn from(page: Page) -> Listing {
        let position = Position::new(page.era, page.store_revision);
        let mut items: Vec<Object> =
            page.items.iter().filter_map(|raw| decode_object(raw).ok()).collect();
        items.iter_mut().for_each(|object| object.metadata.position.era = page.era);
        Listing { items, position }
    }
}

/// One page of a list.
#[derive(Debug, Deserialize)]
pub struct Page {
    items: Vec<Box<RawValue>>,
    /// True if there are more objects after the last one.
    #[serde(default)]
    has_more: bool,
    store_revision: u64,
    #[serde(skip)]
    era: Era,
    /// True if the response had invalid UTF-8, which was replaced.
    #[serde(skip)]
    is_lossy: bool,
}

impl Page {
    /// Returns the page with the era of the store that the response named.
    pub fn in_era(self, era: Era, is_lossy: bool) -> Page {
        Page { era, is_lossy, ..self }
    }

    /// Returns the name of the last object that has one, after which the next page begins. The
    /// store does not know a name of which a part was replaced.
    fn cursor(&self) -> Option<String> {
        let names = self.items.iter().rev().filter_map(|raw| decode_name(raw));
        let is_exact =
            |name: &String| !self.is_lossy || !name.contains(char::REPLACEMENT_CHARACTER);
        names.into_iter().find(is_exact)
    }
}

/// Why a list is not whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gap {
    /// The store was restored from a backup between two pages.
    Restored,
    /// A page has no name after which the next one could begin, although there are more objects.
    NoCursor,
    /// A page ends where an earlier one has ended, or there are too many of them.
    Endless,
    /// The store rejected the request for a page with this HTTP status.
    Refused(u16),
    /// A page does not decode. Holds the decoder's message.
    Undecodable(String),
}

impl std::fmt::Display for Gap {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Gap::Restored => f.write_str("the store was restored between two pages"),
            Gap::NoCursor => f.write_str("a page has no name to go on from"),
            Gap::Endless => f.write_str("the pages have no end"),
            Gap::Refused(status) => write!(f, "the store responded to a page with status {status}"),
            Gap::Undecodable(reason) => write!(f, "a page does not decode: {reason}"),
        }
    }
}

/// Pages of a list that were read so far.
#[derive(Default)]
pub struct Pages {
    listing: Option<Listing>,
    cursor: Option<String>,
    /// Names at which pages have ended.
    ends: HashSet<String>,
}

impl Pages {
    /// Returns the name after which the next page begins; `None` for the first page.
    pub fn cursor(&self) -> Option<&str> {
        self.cursor.as_deref()
    }

    /// Appends a page. Returns true if it is the last one.
    ///
    /// # Errors
    /// If the list cannot be continued after this page.
    pub fn add(&mut self, page: Page) -> Result<bool, Gap> {
        let (era, has_more, cursor) = (page.era, page.has_more, page.cursor());
        if self.listing.as_ref().is_some_and(|listing| listing.position.era != era) {
            return Err(Gap::Restored);
        }
        let is_repeated = cursor.as_ref().is_some_and(|end| self.ends.contains(end));
        if has_more && is_repeated {
            return Err(Gap::Endless);
        }
        let page = Listing::from(page);
        match &mut self.listing {
            // A watch from the first page's revision reports what changed between two pages.
            Some(listing) => listing.items.extend(page.items),
            None => self.listing = Some(page),
        }
        if !has_more {
            return Ok(true);
        }
        let cursor = cursor.ok_or(Gap::NoCursor)?;
        self.ends.insert(cursor.clone());
        self.cursor = Some(cursor);
        if self.ends.len() < MAX_PAGES { Ok(false) } else { Err(Gap::Endless) }
    }

    /// Returns the objects of all pages; `None` if there was no page.
    pub fn into_listing(self) -> Option<Listing> {
        self.listing
    }
}

/// Object of which only the metadata decode.
#[derive(Deserialize)]
struct MetadataOnly {
    metadata: Metadata,
}

/// Decodes one object. If its contents do not decode, it counts as empty, so that the check of its
/// kind finds it.
pub fn decode_object(raw: &RawValue) -> Result<Object, serde_json::Error> {
    serde_json::from_str(raw.get()).or_else(|_| {
        let MetadataOnly { metadata } = serde_json::from_str(raw.get())?;
        Ok(Object { metadata, spec: serde_json::Value::Null, status: serde_json::Value::Null })
    })
}

/// Object of which only the name decodes.
#[derive(Deserialize)]
struct NameOnly {
    metadata: Name,
}

#[derive(Deserialize)]
struct Name {
    name: String,
}

fn decode_name(raw: &RawValue) -> Option<String> {
    let NameOnly { metadata: Name { name } } = serde_json::from_str(raw.get()).ok()?;
    Some(name)
}
