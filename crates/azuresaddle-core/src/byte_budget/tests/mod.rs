mod budget;
mod read;
