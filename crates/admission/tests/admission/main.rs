//! Tests of admission: single rules, and randomised simulations with a model target in virtual
//! time.

mod cold;
mod overload;
mod sim;
mod units;
